#include "limits/streamrate.h"

#include <cmath>

namespace Basilbend
{

namespace Internal
{

constexpr double WindowMs = 10000;

}

void DecayingSum::add(double amount, Timestamp now)
{
    m_value = value(now) + amount;
    m_at = now;
}

double DecayingSum::value(Timestamp now) const
{
    const auto elapsed = static_cast<double>((now - m_at).count());
    return elapsed <= 0 || m_value == 0 ? m_value : m_value * std::exp(-elapsed / Internal::WindowMs);
}

void StreamRate::advance(std::size_t running, Timestamp now)
{
    const auto elapsed = static_cast<double>((now - m_at).count()) / 1000;
    if (elapsed > 0) {
        m_streamSeconds.add(static_cast<double>(running) * elapsed, now);
    }
    m_at = now;
}

void StreamRate::addTokens(std::uint64_t tokens, Timestamp now)
{
    m_tokens.add(static_cast<double>(tokens), now);
}

double StreamRate::tokensPerSecond() const
{
    const auto seconds = m_streamSeconds.value(m_at);
    return seconds <= 0 ? 0 : m_tokens.value(m_at) / seconds;
}

}
