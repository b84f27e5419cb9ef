#pragma once

#include "base/timestamp.h"

#include <optional>

namespace Basilbend
{

/// Whether items of batches may be sent to endpoints, by the age of what is known of the batches. A client may end a batch at any
/// moment, and nothing of it may reach an endpoint later than the bound after that. A process that is behind its work may hold
/// knowledge that is seconds old, so this is asked at the moment of sending.
struct StartRule {
    Milliseconds cancelBound{3000};
    /// Room for the way to the endpoint and for what else is started in the same round.
    Milliseconds margin{800};

    bool mayStart(std::optional<Timestamp> knownAsOf, Timestamp now) const
    {
        return knownAsOf && now - *knownAsOf <= cancelBound - margin;
    }
};

}
