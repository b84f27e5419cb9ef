#include "store/callbudget.h"

#include <algorithm>
#include <cmath>

namespace Basilbend
{

CallBudget::CallBudget(CallBudgetSettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_tokens(settings.burst)
{
}

double CallBudget::tokens(Timestamp now) const
{
    constexpr double MillisecondsPerSecond = 1000;
    const auto elapsed = static_cast<double>(std::max(now - m_filledAt, Milliseconds(0)).count());
    return std::min(m_settings.burst, m_tokens + elapsed * m_settings.callsPerSecond / MillisecondsPerSecond);
}

bool CallBudget::tryTake(Timestamp now)
{
    if (now < m_blockedUntil) {
        ++m_counts.refusedByBackoff;
        return false;
    }
    m_tokens = tokens(now);
    m_filledAt = now;
    if (m_tokens < 1) {
        ++m_counts.refusedByRate;
        return false;
    }
    m_tokens -= 1;
    ++m_counts.allowed;
    return true;
}

void CallBudget::noteFailure(Timestamp now)
{
    constexpr unsigned MaxDoublings = 16;
    ++m_counts.failures;
    m_failuresInRow = std::min(m_failuresInRow + 1, MaxDoublings);
    const auto limit = std::min(m_settings.maxBackoff, m_settings.baseBackoff * (1 << m_failuresInRow));
    m_blockedUntil = now + Milliseconds(m_random.below(static_cast<std::uint64_t>(limit.count())));
}

void CallBudget::noteSuccess()
{
    m_failuresInRow = 0;
    m_blockedUntil = Timestamp();
}

Milliseconds CallBudget::waitTime(Timestamp now) const
{
    constexpr double MillisecondsPerSecond = 1000;
    const auto missing = std::max(0.0, 1 - tokens(now));
    const Milliseconds refill(static_cast<std::int64_t>(std::ceil(missing * MillisecondsPerSecond / m_settings.callsPerSecond)));
    return std::max(refill, std::max(m_blockedUntil - now, Milliseconds(0)));
}

}
