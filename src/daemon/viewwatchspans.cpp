#include "daemon/viewwatchspans.h"

#include "metadata/watchtiming.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Part of a bound that a watch waits at most, so that one lost watch does not make the copy older than the bound.
constexpr int KeyBoundDivisor = 2;

}

ViewWatchSpans viewWatchSpansFor(const DaemonSettings &settings, Milliseconds keyBound)
{
    ViewWatchSpans spans{};
    spans.operatorKeys = std::min(WatchTiming::spanFor(settings.configurationBound), keyBound / KeyBoundDivisor);
    // A watch of endpoints is lost in silence only in a fault, after which copies have until RecoveryBound to be current again.
    spans.endpoints = WatchTiming::spanFor(std::max(settings.endpointLeaveBound, WatchTiming::RecoveryBound));
    return spans;
}

}
