#include "scheduling/silencerule.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr int MaxDoublings = 4;

}

Milliseconds silenceTimeout(double eventIntervalMs, int runsWithoutEvent)
{
    const Milliseconds byInterval(static_cast<Milliseconds::rep>(SilenceIntervals * eventIntervalMs));
    const auto limit = std::max(MinSilenceTimeout, byInterval) * (1 << std::min(runsWithoutEvent, MaxDoublings));
    return std::min(limit, MaxSilenceTimeout);
}

}
