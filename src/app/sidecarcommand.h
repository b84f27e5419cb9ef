#pragma once

#include <CLI/App.hpp>

namespace Basilbend
{

/// Adds "sidecar", which runs the process beside one endpoint until SIGTERM. It passes requests to the endpoint through a
/// queue, reports the load to the entries and holds usage records until they are in the store.
void addSidecarCommand(CLI::App &app);

}
