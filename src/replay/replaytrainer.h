#pragma once

#include "replay/trace.h"

#include <cstddef>
#include <vector>

namespace Basilbend
{

/// One trainer of a replay: opens a step when training on the one before begins, and trains on each for a fixed time. It is idle while it has
/// trained on a step and the next one is not complete; the wait for the first step is not counted.
class ReplayTrainer
{
public:
    explicit ReplayTrainer(const TraceTrainer &trace);

    const TraceTrainer &trace() const;

    /// The samples of the step to open now; empty when a step is open or none is left.
    const std::vector<TraceSample> &openStep(Timestamp now);
    bool isOpen() const;
    bool isDone() const;

    /// The trainer got one sample of the open step; returns true when the step is complete.
    bool sampleDelivered(Timestamp now);

    double idleSeconds(Timestamp end) const;
    double stepSeconds(Timestamp end) const;
    std::uint64_t steps() const;

private:
    const TraceTrainer &m_trace;
    std::size_t m_next = 0;
    std::size_t m_missing = 0;
    Timestamp m_openedAt;
    Timestamp m_trainedUntil;
    Milliseconds m_idle{0};
    Milliseconds m_stepTime{0};
    std::uint64_t m_completed = 0;
};

}
