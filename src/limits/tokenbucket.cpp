#include "limits/tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace Basilbend
{

namespace Internal
{

constexpr Milliseconds NeverPasses{3600000};

}

TokenBucket::TokenBucket(double tokensPerSecond, Timestamp now)
    : m_rate(tokensPerSecond)
    , m_level(tokensPerSecond)
    , m_at(now)
{
}

void TokenBucket::setRate(double tokensPerSecond, Timestamp now)
{
    m_level = std::min(levelAt(now), tokensPerSecond);
    m_at = now;
    m_rate = tokensPerSecond;
}

bool TokenBucket::tryTake(double amount, Timestamp now)
{
    if (timeUntil(amount, now) > Milliseconds(0)) {
        return false;
    }
    charge(amount, now);
    return true;
}

void TokenBucket::charge(double amount, Timestamp now)
{
    m_level = std::min(levelAt(now) - amount, m_rate);
    m_at = now;
}

Milliseconds TokenBucket::timeUntil(double amount, Timestamp now) const
{
    if (m_rate <= 0) {
        return Internal::NeverPasses;
    }
    const auto missing = std::min(amount, m_rate) - levelAt(now);
    return missing <= 0 ? Milliseconds(0) : Milliseconds(static_cast<std::int64_t>(std::ceil(missing / m_rate * 1000)));
}

double TokenBucket::rate() const
{
    return m_rate;
}

double TokenBucket::levelAt(Timestamp now) const
{
    const auto elapsed = std::max<std::int64_t>(0, (now - m_at).count());
    return std::min(m_rate, m_level + m_rate * static_cast<double>(elapsed) / 1000);
}

}
