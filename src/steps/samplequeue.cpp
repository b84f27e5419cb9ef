#include "steps/samplequeue.h"

#include "steps/lengthestimator.h"
#include "steps/step.h"

#include <algorithm>

namespace Basilbend
{

SampleQueue::SampleQueue(const Step &step, const LengthEstimator &lengths)
{
    struct Ranked {
        double expected;
        std::uint32_t first;
        std::uint32_t samples;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(step.groups.size());
    std::uint32_t first = 0;
    for (const auto &group : step.groups) {
        ranked.push_back({lengths.expected(promptKey(group.prompt), step.maxTokens), first, group.samples});
        first += group.samples;
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) { return a.expected > b.expected; });
    m_order.reserve(first);
    for (const auto &group : ranked) {
        for (std::uint32_t i = 0; i < group.samples; ++i) {
            m_order.push_back(group.first + i);
        }
    }
}

void SampleQueue::requeue(std::uint32_t index)
{
    m_again.push_back(index);
}

std::optional<std::uint32_t> SampleQueue::front(const std::function<bool(std::uint32_t)> &isWaiting)
{
    while (!m_again.empty()) {
        if (isWaiting(m_again.front())) {
            return m_again.front();
        }
        m_again.pop_front();
    }
    for (; m_next < m_order.size(); ++m_next) {
        if (isWaiting(m_order[m_next])) {
            return m_order[m_next];
        }
    }
    return std::nullopt;
}

}
