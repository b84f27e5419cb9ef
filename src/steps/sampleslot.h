#pragma once

#include "base/attemptid.h"
#include "base/timestamp.h"
#include "steps/partialsample.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Basilbend::Internal
{

struct RunningSample {
    AttemptId attempt;
    std::uint32_t endpoint = 0;
    /// False after a takeover until the sidecar has told what it has of the attempt.
    bool attached = true;
    Timestamp startedAt;
    std::uint64_t endpointVersion = 0;
    std::uint64_t prefixTokens = 0;
    PartialSample partial;

    std::uint64_t oldest() const
    {
        return partial.body().versions.empty() ? endpointVersion : oldestVersion(partial.body().versions);
    }
};

struct FinishedSample {
    SampleBody body;
    AttemptId attempt;
    std::uint32_t endpoint = 0;
    /// Order of completion within the step.
    std::uint64_t number = 0;
    /// Part of an answer that may still be on its way.
    bool sent = false;
};

/// What a StepTracker knows of one sample.
struct SampleSlot {
    enum class State : std::uint8_t {
        Waiting,
        Running,
        Finished,
        /// In the trainer's cursor.
        Covered,
    };

    State state = State::Waiting;
    bool placementChanged = false;
    std::vector<RunningSample> running;
    std::unique_ptr<FinishedSample> finished;
    /// Verified output of a failed attempt, to resume from.
    std::unique_ptr<SampleBody> prefix;
};

}
