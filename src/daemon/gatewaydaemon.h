#pragma once

#include "daemon/daemonruntime.h"

namespace Basilbend
{

/// Runs a gateway until the process is told to stop: the process on an entry host that clients connect to. Throws
/// asio::system_error when an address can't be bound.
void runGateway(DaemonRuntime &runtime);

}
