#pragma once

#include <CLI/App.hpp>

namespace Basilbend
{

/// Adds "replay", which replays recordings against their stated outcomes.
void addReplayCommand(CLI::App &app);

}
