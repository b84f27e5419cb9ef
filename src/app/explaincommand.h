#pragma once

namespace CLI
{
class App;
}

namespace Basilbend
{

/// Adds "explain", which prints the lines about one id from the logs of several processes.
void addExplainCommand(CLI::App &app);

}
