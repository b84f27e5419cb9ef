#include "scheduling/tokenforecast.h"

#include <algorithm>

namespace Basilbend
{

void TokenForecast::add(const TokenUse &use)
{
    const auto position = std::upper_bound(m_uses.begin(), m_uses.end(), use, [](const TokenUse &a, const TokenUse &b) { return a.remaining > b.remaining; });
    m_uses.insert(position, use);
}

std::uint64_t TokenForecast::peakWith(const TokenUse &added) const
{
    // The total falls only when a run ends, so the peak is right before the end of one of them. Going backwards from the
    // last end, each run that is visited is one more that is still active at that time.
    std::uint64_t heldSum = 0;
    std::uint64_t runs = 0;
    std::uint64_t peak = 0;
    const auto visit = [&](const TokenUse &use) {
        heldSum += use.held;
        ++runs;
        peak = std::max(peak, heldSum + runs * use.remaining);
    };
    bool isVisited = false;
    for (const auto &use : m_uses) {
        if (!isVisited && added.remaining >= use.remaining) {
            visit(added);
            isVisited = true;
        }
        visit(use);
    }
    if (!isVisited) {
        visit(added);
    }
    return peak;
}

}
