#pragma once

#include "replay/replayer.h"

#include <string>
#include <vector>

namespace Basilbend
{

/// The five measures, the comparison and the verdict for people.
std::string replayText(const ReplayReport &report);
std::string replayJson(const ReplayReport &report);

/// The page docs/replay-results.md.
std::string replayPage(const std::vector<ReplayReport> &reports);

}
