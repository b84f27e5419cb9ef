#pragma once

#include "base/timestamp.h"

#include <optional>

namespace Basilbend
{

/// How much later than due the timers of an event loop fired over one report interval.
struct LoopDelay {
    Milliseconds longest{0};
    Milliseconds mean{0};
};

inline bool operator==(const LoopDelay &a, const LoopDelay &b)
{
    return a.longest == b.longest && a.mean == b.mean;
}

/// Summarizes how late a periodic timer of the event loop fires. A mean share of the processor over a long time hides the seconds
/// in which a process has no processor time left; the delay shows them.
class LoopDelayMonitor
{
public:
    /// Records one firing of the timer. Returns a report after each SamplesPerReport firings.
    std::optional<LoopDelay> record(Timestamp dueAt, Timestamp firedAt);

    static constexpr int SamplesPerReport = 4;

private:
    Milliseconds m_longest{0};
    Milliseconds m_sum{0};
    int m_samples = 0;
};

}
