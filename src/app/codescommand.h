#pragma once

#include <CLI/App.hpp>

namespace Basilbend
{

/// Adds "codes", which prints the table of result codes as Markdown.
void addCodesCommand(CLI::App &app);

}
