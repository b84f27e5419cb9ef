#pragma once

namespace CLI
{
class App;
}

namespace Basilbend
{

/// Adds "explain", which prints what the logs of several processes tell of one id.
void addExplainCommand(CLI::App &app);

}
