#pragma once

#include "base/timestamp.h"

#include <optional>

namespace Basilbend
{

/// Decides whether items of batches may be sent to endpoints, by the age of a state that can forbid it: the open batches, which
/// a client may end at any time, or the evacuated availability zones. Nothing may reach an endpoint later than the bound after such
/// a change. An overloaded process may hold state that is seconds old, so this is checked at the time of sending.
struct StartRule {
    Milliseconds bound{3000};
    /// Time for the transfer to the endpoint and for other runs that are started in the same round.
    Milliseconds margin{800};

    /// confirmedAt: time at which the known state was last confirmed to be current; empty if it never was.
    bool mayStart(std::optional<Timestamp> confirmedAt, Timestamp now) const
    {
        return confirmedAt && now - *confirmedAt <= bound - margin;
    }
};

}
