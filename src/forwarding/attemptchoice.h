#pragma once

#include "base/timestamp.h"
#include "catalog/endpointrecord.h"
#include "forwarding/announcedlimits.h"
#include "forwarding/endpointpicker.h"

#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// Endpoints that may receive a live request.
struct AttemptCandidates {
    std::vector<const EndpointRecord *> unlimited;
    /// Endpoints that name a limit: they may get the request only if the leader grants it.
    std::vector<const EndpointRecord *> limited;
};

AttemptCandidates splitByLimit(const std::vector<const EndpointRecord *> &endpoints, const AnnouncedLimits &limits);

/// What a live request does next.
struct AttemptChoice {
    enum class Step {
        /// No endpoint may receive the request.
        NoEndpoint,
        Send,
        AskForGrant,
        /// Only limited endpoints are left, and a grant was denied.
        RejectLimited,
        /// Every endpoint has been tried or is full.
        WaitForCapacity,
    };

    Step step = Step::NoEndpoint;
    /// The endpoint to send to; null for other steps.
    const EndpointRecord *endpoint = nullptr;
    /// The endpoints to ask the leader for, the preferred one first.
    std::vector<const EndpointRecord *> grantCandidates;
};

/// State of a live request that its next step depends on.
struct AttemptState {
    /// Endpoints that the request was sent to.
    const std::set<std::string> &excluded;
    /// Whether a grant was denied since the last attempt.
    bool isGrantDenied = false;
};

/// Chooses the next step of a live request. Endpoints without limit come first, but now and then one that names a limit is asked for,
/// to learn whether its limit still holds.
AttemptChoice
chooseAttempt(const AttemptCandidates &candidates, const AttemptState &state, const EndpointPicker &picker, AnnouncedLimits &limits, Timestamp now);

}
