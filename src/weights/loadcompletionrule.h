#pragma once

#include "base/timestamp.h"

namespace Basilbend
{

/// A load of weights that an endpoint has accepted, or whose order it has left unanswered.
struct AcceptedLoad {
    Timestamp acceptedAt;
    /// The endpoint did not answer the order, so it may be carried out much later or never.
    bool isUnanswered = false;
    /// The endpoint has refused work after the usual time of a load.
    bool hasRefusedWork = false;
};

/// Decides when an endpoint counts as loaded before it reports so. Reports are some hundred milliseconds old; waiting for one
/// would leave the endpoint idle for a quarter of each load while items are queued. A request that arrives too early costs one
/// refusal. It names the version that it expects, so it never runs under another one.
struct LoadCompletionRule {
    /// Usual duration of a change of weights.
    Milliseconds usualDuration{900};

    bool isPresumedComplete(const AcceptedLoad &load, Timestamp now) const
    {
        return !load.isUnanswered && !load.hasRefusedWork && now - load.acceptedAt >= usualDuration;
    }
};

}
