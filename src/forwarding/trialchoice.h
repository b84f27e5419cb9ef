#pragma once

#include "base/timestamp.h"
#include "catalog/endpointrecord.h"
#include "forwarding/endpointpicker.h"
#include "forwarding/endpointtrials.h"
#include "forwarding/requestfingerprint.h"

#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// State of a suspected request that its trial depends on.
struct TrialState {
    const RequestFingerprint &request;
    /// Endpoints that the request was sent to.
    const std::set<std::string> &excluded;
    /// Time since the newest crash under any request. After a quarantine the request's own crashes are long past, but other suspects may
    /// have crashed the other endpoints just now.
    Milliseconds sinceLastCrash{0};
    /// Time since the trial was first asked for.
    Milliseconds waited{0};
};

/// What a suspected request does next.
struct TrialChoice {
    enum class Step {
        Send,
        /// Reserve the endpoint, if one is set, and ask again soon.
        Wait,
        /// A crash now would leave the service without endpoints.
        Reject,
    };

    Step step = Step::Reject;
    const EndpointRecord *endpoint = nullptr;
    /// Whether no other request of this process runs at the endpoint.
    bool isIsolated = false;
    /// Time after which a rejected request may be tried.
    Milliseconds retryAfter{0};
};

/// Chooses where a suspected request runs as a trial: alone at an endpoint if possible, one attempt of the same request at a time, and not
/// at the last available endpoint soon after a crash. All processes prefer the same endpoint for the same request, and different ones
/// for different requests, so that a request that arrives at several processes crashes few endpoints, and two of them rarely share one.
TrialChoice chooseTrial(
    const std::vector<const EndpointRecord *> &endpoints, const TrialState &state, const EndpointPicker &picker, const EndpointTrials &trials, Timestamp now);

/// Longest wait for an endpoint at which nothing else runs.
inline constexpr Milliseconds MaxIsolationWait{200};

/// Time after a crash in which no trial runs at the last available endpoint. Crashed endpoints need some seconds to start again.
inline constexpr Milliseconds LastEndpointProtection{5000};

}
