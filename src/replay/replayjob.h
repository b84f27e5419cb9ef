#pragma once

#include "base/attemptid.h"
#include "limits/queuedrequest.h"
#include "replay/trace.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Basilbend
{

class ReplayEndpoint;

/// A request or a sample on its way through a replay.
struct ReplayJob {
    enum class State {
        Open,
        Delivered,
        Refused,
    };

    TraceRequest request;

    /// Samples only.
    std::optional<std::size_t> trainer;
    std::uint32_t sampleIndex = 0;

    State state = State::Open;

    /// Requests only: tokens that the entry has and a new attempt goes on from. StepTracker keeps those of samples.
    std::uint64_t resumedTokens = 0;

    /// Most tokens that any attempt reached; only tokens beyond it are progress.
    std::uint64_t reached = 0;

    bool admitted = false;
    std::uint64_t finalAnswers = 0;
};

/// One try of a job on an endpoint.
struct ReplayAttempt {
    std::size_t job = 0;
    std::size_t entry = 0;
    ReplayEndpoint *endpoint = nullptr;
    bool started = false;

    /// The last point at which the time per token was measured.
    Timestamp measuredAt;
    std::uint64_t measuredTokens = 0;

    /// Including what it was resumed from.
    std::uint64_t tokens = 0;
    std::uint64_t resumedFrom = 0;
};

}
