#include "forwarding/attemptchoice.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Returns the limited endpoint that should get a request to learn whether its limit still holds; null if there is none.
const EndpointRecord *
dueForRecheck(const std::vector<const EndpointRecord *> &limited, const std::set<std::string> &excluded, AnnouncedLimits &limits, Timestamp now)
{
    const auto it = std::find_if(limited.begin(), limited.end(), [&](const EndpointRecord *endpoint) {
        return excluded.count(endpoint->id) == 0 && limits.takeRecheck(*endpoint, now);
    });
    return it == limited.end() ? nullptr : *it;
}

/// Returns the endpoints that are neither excluded nor full, the preferred one first.
std::vector<const EndpointRecord *>
orderByPreference(const std::vector<const EndpointRecord *> &endpoints, std::set<std::string> excluded, const EndpointPicker &picker, Timestamp now)
{
    std::vector<const EndpointRecord *> ordered;
    while (const auto *endpoint = picker.pick(endpoints, excluded, now)) {
        ordered.push_back(endpoint);
        excluded.insert(endpoint->id);
    }
    return ordered;
}

}

AttemptCandidates splitByLimit(const std::vector<const EndpointRecord *> &endpoints, const AnnouncedLimits &limits)
{
    AttemptCandidates candidates;
    for (const auto *endpoint : endpoints) {
        (limits.limitOf(*endpoint) ? candidates.limited : candidates.unlimited).push_back(endpoint);
    }
    return candidates;
}

AttemptChoice
chooseAttempt(const AttemptCandidates &candidates, const AttemptState &state, const EndpointPicker &picker, AnnouncedLimits &limits, Timestamp now)
{
    using Step = AttemptChoice::Step;
    if (candidates.unlimited.empty() && candidates.limited.empty()) {
        return {Step::NoEndpoint, nullptr, {}};
    }
    if (!candidates.unlimited.empty() && !state.isGrantDenied) {
        if (const auto *endpoint = dueForRecheck(candidates.limited, state.excluded, limits, now)) {
            return {Step::AskForGrant, nullptr, {endpoint}};
        }
    }
    if (const auto *endpoint = picker.pick(candidates.unlimited, state.excluded, now)) {
        return {Step::Send, endpoint, {}};
    }
    const auto limited = orderByPreference(candidates.limited, state.excluded, picker, now);
    if (limited.empty()) {
        return {Step::WaitForCapacity, nullptr, {}};
    }
    return state.isGrantDenied ? AttemptChoice{Step::RejectLimited, nullptr, {}} : AttemptChoice{Step::AskForGrant, nullptr, limited};
}

}
