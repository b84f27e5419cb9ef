#pragma once

#include "base/timestamp.h"
#include "scheduling/runend.h"

#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// Speed and availability of each model endpoint: the recent average interval between two events of a run, and suspensions
/// after failures. Slow endpoints are detected by comparison with the others, so that no figure of an engine has to be
/// known.
class EndpointHealth
{
public:
    void recordInterval(const std::string &endpoint, Milliseconds interval, Timestamp now);

    /// Suspends the endpoint after a failure (no connection, a broken or stalled stream), longer each time.
    void recordFailure(const std::string &endpoint, Timestamp now);
    /// Suspends the endpoint briefly because it refused a run for lack of room or is changing its weights.
    void recordRefusal(const std::string &endpoint, Timestamp now);
    void recordCompletion(const std::string &endpoint);
    /// Records the end of a run and what it implies for its endpoint.
    void recordRunEnd(const std::string &endpoint, RunEnd end, bool hadEvents, Timestamp now);
    void forget(const std::string &endpoint);

    bool isSuspended(const std::string &endpoint, Timestamp now) const;

    /// Recent average interval in ms; zero if there are too few samples or none is recent.
    double eventIntervalMs(const std::string &endpoint, Timestamp now) const;

    /// Last average interval in ms, regardless of its age; zero if there are too few samples. The speeds of engines differ
    /// permanently, so an old average still shows which are fast.
    double lastIntervalMs(const std::string &endpoint) const;

    /// Median of the recent averages in ms; zero if there are none.
    double medianIntervalMs(Timestamp now) const;

    /// Whether the endpoint generates at less than about half the usual speed, that is, its interval exceeds SlowFactor
    /// times the median. medianIntervalMs: the result of medianIntervalMs() for the same time. Computing it looks
    /// at all endpoints and need not be repeated for each of them.
    bool isSlow(const std::string &endpoint, double medianIntervalMs, Timestamp now) const;

    static constexpr double SlowFactor = 1.9;
    static constexpr Milliseconds SampleLifetime{4000};

private:
    struct State {
        double eventIntervalMs = 0;
        int samples = 0;
        Timestamp lastSample;
        int failures = 0;
        Timestamp suspendedUntil;
    };

    bool hasRecentSamples(const State &state, Timestamp now) const;

    std::map<std::string, State> m_states;
};

}
