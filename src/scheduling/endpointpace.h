#pragma once

#include "base/timestamp.h"
#include "scheduling/runend.h"

#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// How fast each model endpoint generates: the recent average of the time between two events of one run. Slow ones are told
/// by comparison with the others, so that no figure of an engine has to be known.
class EndpointPace
{
public:
    void noteGap(const std::string &endpoint, Milliseconds gap, Timestamp now);

    /// The endpoint failed: no connection, a cut or silent stream. It is left out for a while, longer each time.
    void noteFailure(const std::string &endpoint, Timestamp now);
    /// The endpoint refused for lack of room, or is changing weights.
    void noteFull(const std::string &endpoint, Timestamp now);
    void noteCompleted(const std::string &endpoint);
    /// What the end of a run tells of its endpoint.
    void noteRunEnd(const std::string &endpoint, RunEnd end, bool hadEvents, Timestamp now);
    void forget(const std::string &endpoint);

    bool isSuspended(const std::string &endpoint, Timestamp now) const;

    /// The average gap, or zero when nothing recent is known.
    double gapMs(const std::string &endpoint, Timestamp now) const;

    /// The last average gap, however old; zero: none. Engines differ in speed for good, so it still tells which are fast.
    double lastGapMs(const std::string &endpoint) const;

    /// The middle of the known averages, or zero.
    double medianGapMs(Timestamp now) const;

    /// Whether the endpoint generates at less than half of the usual speed. Median: medianGapMs() of the same time, which looks
    /// at all endpoints and need not be repeated for each of them.
    bool isSlow(const std::string &endpoint, double medianGapMs, Timestamp now) const;

    static constexpr double SlowFactor = 1.9;
    static constexpr Milliseconds SampleLife{4000};

private:
    struct State {
        double gapMs = 0;
        int samples = 0;
        Timestamp lastSample;
        int failures = 0;
        Timestamp suspendedUntil;
    };

    bool isKnown(const State &state, Timestamp now) const;

    std::map<std::string, State> m_states;
};

}
