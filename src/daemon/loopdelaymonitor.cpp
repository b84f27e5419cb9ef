#include "daemon/loopdelaymonitor.h"

#include <algorithm>

namespace Basilbend
{

std::optional<LoopDelay> LoopDelayMonitor::record(Timestamp dueAt, Timestamp firedAt)
{
    const auto delay = std::max(Milliseconds(0), firedAt - dueAt);
    m_longest = std::max(m_longest, delay);
    m_sum += delay;
    if (++m_samples < SamplesPerReport) {
        return std::nullopt;
    }
    const LoopDelay report{m_longest, m_sum / SamplesPerReport};
    *this = {};
    return report;
}

}
