#pragma once

#include "daemon/daemonruntime.h"

namespace Basilbend
{

/// Runs a gateway, the process on an entry host that clients connect to, until SIGTERM or SIGINT. Throws asio::system_error
/// when an address can't be bound.
void runGateway(DaemonRuntime &runtime);

}
