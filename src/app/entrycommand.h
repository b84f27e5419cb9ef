#pragma once

#include <CLI/App.hpp>

namespace Basilbend
{

/// Adds "entry", which runs the process of an entry host until SIGTERM.
void addEntryCommand(CLI::App &app);

}
