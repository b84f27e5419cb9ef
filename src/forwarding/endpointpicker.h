#pragma once

#include "base/timestamp.h"
#include "catalog/endpointrecord.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// Chooses the endpoint for a live request by the time that it is expected to take there: the endpoint's recent latency
/// times the requests before it, with a small charge for another availability zone. Endpoints that failed are left out for
/// a while, longer with each failure, unless all have failed.
class EndpointPicker
{
public:
    explicit EndpointPicker(std::string zone);

    /// Returns null when there is none left, or all that are left have said that they are full.
    const EndpointRecord *pick(const std::vector<const EndpointRecord *> &candidates, const std::set<std::string> &excluded, Timestamp now) const;

    void recordSent(const std::string &id);
    /// The request has ended there, in whichever way.
    void recordEnded(const std::string &id);
    void recordLatency(const std::string &id, Milliseconds latency, Timestamp now);
    /// Requests of others that wait at the endpoint, as it tells.
    void recordQueueLength(const std::string &id, int queueLength, Timestamp now);
    /// No answer within the time of a request, which may have been too short for it. Counts as a failure when it happens
    /// SilentTries times in a row.
    void recordTimeout(const std::string &id, Timestamp now);
    /// No connection, a cut answer or a failure answer.
    void recordFailure(const std::string &id, Timestamp now);
    /// The endpoint refused for lack of room.
    void recordFull(const std::string &id, Timestamp now);
    void remove(const std::string &id);

    int inFlight(const std::string &id) const;

    static constexpr Milliseconds FirstSuspension{400};
    static constexpr Milliseconds LongestSuspension{6000};
    static constexpr Milliseconds FullBackoff{40};
    static constexpr int TimeoutsBeforeSuspension = 3;

private:
    struct State {
        int inFlight = 0;
        double latencyMs = 0;
        Timestamp latencyAt;
        int queueLength = 0;
        Timestamp queueLengthAt;
        int consecutiveFailures = 0;
        int consecutiveTimeouts = 0;
        Timestamp suspendedUntil;
        Timestamp fullUntil;
    };

    double expectedMs(const EndpointRecord &endpoint, const State &state, Timestamp now) const;
    const State &stateOf(const std::string &id) const;

    std::string m_zone;
    std::map<std::string, State> m_states;
};

}
