#pragma once

namespace CLI
{
class App;
}

namespace Basilbend
{

/// Adds the commands that edit the operators' lists and keys through an entry, and "status".
void addOperatorCommands(CLI::App &app);

}
