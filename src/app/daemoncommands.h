#pragma once

namespace CLI
{
class App;
}

namespace Basilbend
{

/// Adds "gateway" and "scheduler", the processes that run on the platform.
void addDaemonCommands(CLI::App &app);

}
