#pragma once

namespace CLI
{
class App;
}

namespace Basilbend
{

/// Adds "stand-in NAME --listen ADDRESS:PORT".
void addStandInCommand(CLI::App &app);

}
