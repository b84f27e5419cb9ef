#pragma once

#include "base/timestamp.h"

#include <optional>

namespace Basilbend
{

/// Decides whether items of batches may be sent to endpoints, by the age of the known state of the batches. A client may
/// end a batch at any time, and nothing of it may reach an endpoint later than cancelBound after that. An overloaded
/// process may hold state that is seconds old, so this is checked at the time of sending.
struct StartRule {
    Milliseconds cancelBound{3000};
    /// Time for the transfer to the endpoint and for other runs that are started in the same round.
    Milliseconds margin{800};

    bool mayStart(std::optional<Timestamp> batchesConfirmedAt, Timestamp now) const
    {
        return batchesConfirmedAt && now - *batchesConfirmedAt <= cancelBound - margin;
    }
};

}
