#pragma once

#include "daemon/daemonruntime.h"

namespace Basilbend
{

/// Runs a scheduler until the process is told to stop: one of them leads, runs the batches, changes weights and reports
/// usage; the others stand by. Throws asio::system_error when an address can't be bound.
void runScheduler(DaemonRuntime &runtime);

}
