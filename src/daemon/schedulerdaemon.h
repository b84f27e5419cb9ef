#pragma once

#include "daemon/daemonruntime.h"

namespace Basilbend
{

/// Runs a scheduler until SIGTERM or SIGINT. One scheduler is the leader, which runs batches, orders weight changes and reports
/// usage; the others are on standby. Throws asio::system_error when an address can't be bound.
void runScheduler(DaemonRuntime &runtime);

}
