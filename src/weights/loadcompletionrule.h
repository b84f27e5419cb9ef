#pragma once

#include "base/timestamp.h"

namespace Basilbend
{

/// A load of weights that an endpoint has accepted, or whose order it has left unanswered.
struct AcceptedLoad {
    Timestamp acceptedAt;
    /// The endpoint did not answer, so the order may be carried out much later or never.
    bool isUnanswered = false;
    /// The endpoint has refused work after the usual time of a load.
    bool hasRefusedWork = false;
};

/// Decides when an endpoint counts as loaded. Its own reports are some hundred milliseconds old, so waiting for one would leave
/// it idle for a quarter of each load while items wait. Work that comes too early costs a refusal; it names the version that it
/// expects, so nothing runs under another one.
struct LoadCompletionRule {
    /// Usual duration of a change of weights.
    Milliseconds usualTime{900};

    bool isPresumedComplete(const AcceptedLoad &load, Timestamp now) const
    {
        return !load.isUnanswered && !load.hasRefusedWork && now - load.acceptedAt >= usualTime;
    }
};

}
