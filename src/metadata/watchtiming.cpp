#include "metadata/watchtiming.h"

#include "metadata/watchposition.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Minimum time limit: a slow store takes as long for a watch that does not wait as for any other call.
constexpr Milliseconds MinTimeout{1200};

}

Milliseconds WatchTiming::spanFor(Milliseconds bound)
{
    return std::max(MinSpan, bound - AnswerAllowance - RetryAllowance);
}

Milliseconds WatchTiming::timeoutFor(Milliseconds span)
{
    return std::max(MinTimeout, span + AnswerAllowance);
}

Milliseconds WatchTiming::gapCheckDelayFor(Milliseconds span)
{
    return std::max(WatchPosition::MaxWatchGap, span * 3 / 2);
}

}
