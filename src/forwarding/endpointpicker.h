#pragma once

#include "base/timestamp.h"
#include "catalog/endpointrecord.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// Selects the endpoint with the lowest expected time for a live request: the endpoint's recent latency, scaled by the requests
/// queued there per slot, plus the round trip to another availability zone. An endpoint that failed is suspended, for longer
/// with each consecutive failure. If all endpoints are suspended, the one whose suspension ends first is selected.
class EndpointPicker
{
public:
    explicit EndpointPicker(std::string zone);

    /// Returns null if every candidate is excluded or has reported that it is full.
    const EndpointRecord *pick(const std::vector<const EndpointRecord *> &candidates, const std::set<std::string> &excluded, Timestamp now) const;

    /// Whether the endpoint is neither full nor suspended after failures.
    bool isAvailable(const std::string &id, Timestamp now) const;

    void recordSent(const std::string &id);
    /// Records the end of a request at the endpoint, with or without a response.
    void recordEnded(const std::string &id);
    /// Records the latency of a request that the endpoint answered. Resets the counts of failures and timeouts and ends a
    /// suspension.
    void recordLatency(const std::string &id, Milliseconds latency, Timestamp now);
    /// Records the number of queued requests that the endpoint reports; requests of other processes are included.
    void recordQueueLength(const std::string &id, int queueLength, Timestamp now);
    /// Records a request that got no response within its time limit. The limit may have been too short, so only
    /// TimeoutsBeforeSuspension consecutive timeouts count as a failure.
    void recordTimeout(const std::string &id, Timestamp now);
    /// Records a failed connection, a truncated response or an error response.
    void recordFailure(const std::string &id, Timestamp now);
    /// Records that the endpoint's process has ended.
    void recordCrash(const std::string &id, Timestamp now);
    /// Records that the endpoint rejected a request for lack of capacity.
    void recordFull(const std::string &id, Timestamp now);
    void remove(const std::string &id);

    int inFlight(const std::string &id) const;

    static constexpr Milliseconds FirstSuspension{400};
    static constexpr Milliseconds LongestSuspension{6000};
    /// Suspension after a crash: a process needs seconds to start again.
    static constexpr Milliseconds CrashSuspension{2000};
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
