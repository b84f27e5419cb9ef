#include "steps/stragglerrule.h"

#include <algorithm>

namespace Basilbend
{

namespace Internal
{

/// Stands for "no end in sight"; small enough to add to a time.
constexpr Milliseconds Endless{std::int64_t{1} << 40U};

}

void StragglerRule::finished(Milliseconds duration, std::uint64_t tokens)
{
    m_durations.push_back(static_cast<std::int32_t>(std::min<std::int64_t>(duration.count(), INT32_MAX)));
    m_tokens += tokens;
    m_time += duration.count();
}

std::optional<Milliseconds> StragglerRule::medianDuration() const
{
    if (m_durations.empty()) {
        return std::nullopt;
    }
    if (m_medianOver != m_durations.size()) {
        auto sorted = m_durations;
        const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
        std::nth_element(sorted.begin(), middle, sorted.end());
        m_median = *middle;
        m_medianOver = m_durations.size();
    }
    return Milliseconds(m_median);
}

Milliseconds StragglerRule::remaining(double left, std::uint64_t produced, Milliseconds elapsed) const
{
    if (produced > 0) {
        return Milliseconds(static_cast<std::int64_t>(left * static_cast<double>(elapsed.count()) / static_cast<double>(produced)));
    }
    const auto median = medianDuration();
    if (!median || m_tokens == 0) {
        return Milliseconds(0);
    }
    if (elapsed > *median) {
        return Internal::Endless;
    }
    return Milliseconds(static_cast<std::int64_t>(left * static_cast<double>(m_time) / static_cast<double>(m_tokens)));
}

bool StragglerRule::needsCopy(Milliseconds remaining) const
{
    const auto median = medianDuration();
    return median && remaining > *median * 2;
}

}
