#include "scheduling/silencerule.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr int MaxDoublings = 4;

}

Milliseconds silenceLimit(double usualGapMs, int fruitlessRuns)
{
    const Milliseconds byPace(static_cast<Milliseconds::rep>(SilenceGaps * usualGapMs));
    const auto limit = std::max(ShortestSilence, byPace) * (1 << std::min(fruitlessRuns, MaxDoublings));
    return std::min(limit, LongestSilence);
}

}
