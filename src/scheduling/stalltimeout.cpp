#include "scheduling/stalltimeout.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr int MaxDoublings = 4;

}

Milliseconds stallTimeout(double eventIntervalMs, int runsWithoutEvent)
{
    const Milliseconds byInterval(static_cast<Milliseconds::rep>(StallIntervals * eventIntervalMs));
    const auto limit = std::max(MinStallTimeout, byInterval) * (1 << std::min(runsWithoutEvent, MaxDoublings));
    return std::min(limit, MaxStallTimeout);
}

}
