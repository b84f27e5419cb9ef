#pragma once

#include "base/timestamp.h"

#include <cstddef>
#include <cstdint>

namespace Basilbend
{

/// A sum in which old additions fade with a time constant of 10 s, the length of the window in which service is judged.
class DecayingSum
{
public:
    void add(double amount, Timestamp now);
    double value(Timestamp now) const;

private:
    double m_value = 0;
    Timestamp m_at;
};

/// Generated tokens per second of one running request, from tokens and running time. Idle time of the engine does not
/// lower it, unlike a plain token rate.
class StreamRate
{
public:
    /// Accounts for the time since the last call, in which this many requests ran.
    void advance(std::size_t running, Timestamp now);
    void addTokens(std::uint64_t tokens, Timestamp now);

    /// Tokens per second; zero while nothing is known.
    double tokensPerSecond() const;

private:
    DecayingSum m_tokens;
    DecayingSum m_streamSeconds;
    Timestamp m_at;
};

}
