#pragma once

namespace CLI
{
class App;
}

namespace Basilbend
{

/// Adds "check", which checks a settings file without starting anything.
void addCheckCommand(CLI::App &app);

}
