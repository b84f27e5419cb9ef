#pragma once

namespace CLI
{
class App;
}

namespace Basilbend
{

/// Adds "demo", which runs the whole system on loopback and checks its own figures.
void addDemoCommand(CLI::App &app);

}
