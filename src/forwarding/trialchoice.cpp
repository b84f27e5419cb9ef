#include "forwarding/trialchoice.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace Basilbend
{

namespace
{

using Endpoints = std::vector<const EndpointRecord *>;

/// Returns the endpoints in the order in which all processes prefer them for the request.
Endpoints orderForRequest(const Endpoints &endpoints, const RequestFingerprint &request)
{
    std::map<std::string, const EndpointRecord *> byId;
    std::vector<std::string> ids;
    for (const auto *endpoint : endpoints) {
        byId[endpoint->id] = endpoint;
        ids.push_back(endpoint->id);
    }
    Endpoints ordered;
    for (const auto &id : rendezvousOrder(request.digest, ids, ids.size())) {
        ordered.push_back(byId.at(id));
    }
    return ordered;
}

Endpoints availableEndpoints(const Endpoints &endpoints, const EndpointPicker &picker, Timestamp now)
{
    Endpoints available;
    std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(available), [&](const EndpointRecord *endpoint) {
        return picker.isAvailable(endpoint->id, now);
    });
    return available;
}

}

TrialChoice chooseTrial(const Endpoints &endpoints, const TrialState &state, const EndpointPicker &picker, const EndpointTrials &trials, Timestamp now)
{
    using Step = TrialChoice::Step;
    const auto available = availableEndpoints(endpoints, picker, now);
    const bool wouldRiskLast = available.size() <= 1 && state.sinceLastCrash < LastEndpointProtection;
    if (available.empty() || wouldRiskLast) {
        return {Step::Reject, nullptr, false, std::max(LastEndpointProtection - state.sinceLastCrash, MaxIsolationWait)};
    }
    if (trials.isOnTrial(state.request, now)) {
        return {Step::Wait, nullptr, false, Milliseconds(0)};
    }
    const EndpointRecord *shared = nullptr;
    bool hasUntried = false;
    for (const auto *endpoint : orderForRequest(available, state.request)) {
        if (state.excluded.count(endpoint->id) > 0) {
            continue;
        }
        hasUntried = true;
        if (picker.inFlight(endpoint->id) == 0) {
            return {Step::Send, endpoint, true, Milliseconds(0)};
        }
        // Beside another suspect a crash would show nothing.
        const bool isCandidate = shared == nullptr && !trials.hasTrial(endpoint->id, now);
        shared = isCandidate ? endpoint : shared;
    }
    if (!hasUntried) {
        return {Step::Reject, nullptr, false, MaxIsolationWait};
    }
    const bool mustWait = shared == nullptr || state.waited < MaxIsolationWait;
    return {mustWait ? Step::Wait : Step::Send, shared, false, Milliseconds(0)};
}

}
