#pragma once

#include "base/timestamp.h"

namespace Basilbend
{

/// An order to load weights that an endpoint has accepted, or may have.
struct AcceptedLoad {
    Timestamp acceptedAt;
    /// The endpoint did not answer, so the order may be carried out much later or never.
    bool isUnanswered = false;
    /// The endpoint has refused work since the load should have been over.
    bool wasRefused = false;
};

/// When an endpoint counts as loaded. Its own reports are some hundred milliseconds old, so that waiting for one leaves it idle
/// for a quarter of each load while items wait. Work that comes too early costs a refusal; it names the version that it expects,
/// so nothing runs under another one.
struct LoadRule {
    /// A change of weights takes about this long.
    Milliseconds usualTime{900};

    bool isOver(const AcceptedLoad &load, Timestamp now) const
    {
        return !load.isUnanswered && !load.wasRefused && now - load.acceptedAt >= usualTime;
    }
};

}
