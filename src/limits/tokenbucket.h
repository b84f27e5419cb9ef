#pragma once

#include "base/timestamp.h"

namespace Basilbend
{

/// Tokens per second with a burst of one second's worth. A rate of zero passes nothing. The level may go below zero when more
/// was used than reserved; it then has to be earned back first.
class TokenBucket
{
public:
    TokenBucket(double tokensPerSecond, Timestamp now);

    /// Changes the rate. What was earned at the old rate stays, up to the new burst.
    void setRate(double tokensPerSecond, Timestamp now);

    /// Takes the amount when the level covers it; an amount above the burst passes on a full bucket and leaves a debt.
    bool tryTake(double amount, Timestamp now);

    /// Takes the amount in any case, or returns it when negative.
    void charge(double amount, Timestamp now);

    /// Time until tryTake of this amount can succeed; zero when it can now, an hour when the rate is zero.
    Milliseconds timeUntil(double amount, Timestamp now) const;

    double rate() const;

private:
    double levelAt(Timestamp now) const;

    double m_rate;
    double m_level;
    Timestamp m_at;
};

}
