#include "billing/usagecounter.h"

namespace Basilbend
{

UsageCounter::UsageCounter(Milliseconds span)
    : m_span(span)
{
}

std::int64_t UsageCounter::windowIndexAt(Timestamp at) const
{
    return at.milliseconds() / m_span.count();
}

Timestamp UsageCounter::windowEnd(std::int64_t window) const
{
    return Timestamp((window + 1) * m_span.count());
}

void UsageCounter::countRequest(const std::string &workspace, Timestamp at)
{
    if (!workspace.empty()) {
        ++m_windows[windowIndexAt(at)][workspace];
    }
}

std::vector<ClosedWindow> UsageCounter::takeClosedWindows(Timestamp now)
{
    std::vector<ClosedWindow> closed;
    while (!m_windows.empty() && windowEnd(m_windows.begin()->first) + SettleDelay <= now) {
        closed.push_back({m_windows.begin()->first, std::move(m_windows.begin()->second)});
        m_windows.erase(m_windows.begin());
    }
    return closed;
}

std::vector<ClosedWindow> UsageCounter::closeAllWindows()
{
    std::vector<ClosedWindow> windows;
    for (auto &[window, counts] : m_windows) {
        windows.push_back({window, std::move(counts)});
    }
    m_windows.clear();
    return windows;
}

}
