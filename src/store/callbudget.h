#pragma once

#include "base/random.h"
#include "base/timestamp.h"

#include <cstdint>

namespace Basilbend
{

/// Limits of one process towards the platform's services.
struct CallBudgetSettings {
    double callsPerSecond = 10;
    double burst = 20;

    /// The wait after the n-th failure in a row is random in [0, min(maxBackoff, baseBackoff * 2^n)).
    Milliseconds baseBackoff{100};
    Milliseconds maxBackoff{5000};
};

struct CallBudgetCounts {
    std::uint64_t allowed = 0;
    std::uint64_t refusedByRate = 0;
    std::uint64_t refusedByBackoff = 0;
    std::uint64_t failures = 0;
};

/// Token bucket over the calls of one process, with full-jitter backoff after failures: a service that returns after an
/// outage meets calls spread over the backoff and not all processes at once.
class CallBudget
{
public:
    CallBudget(CallBudgetSettings settings, std::uint64_t seed);

    /// Takes one call out of the budget; false means not now.
    bool tryTake(Timestamp now);

    void noteFailure(Timestamp now);
    void noteSuccess();

    /// Time until tryTake() can succeed.
    Milliseconds waitTime(Timestamp now) const;

    const CallBudgetCounts &counts() const
    {
        return m_counts;
    }

private:
    double tokens(Timestamp now) const;

    CallBudgetSettings m_settings;
    Random m_random;
    CallBudgetCounts m_counts;
    double m_tokens;
    Timestamp m_filledAt;
    Timestamp m_blockedUntil;
    unsigned m_failuresInRow = 0;
};

}
