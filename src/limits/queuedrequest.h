#pragma once

#include "base/attemptid.h"
#include "base/timestamp.h"

#include <cstdint>
#include <string>

namespace Basilbend
{

/// Live requests have a user who waits; rollouts belong to a step of a trainer.
enum class RequestClass {
    Live,
    Rollout,
};

/// A request as the queue of a sidecar sees it.
struct QueuedRequest {
    AttemptId id;
    std::string workspace;
    RequestClass requestClass = RequestClass::Rollout;

    /// The final answer is due then.
    Timestamp deadline;

    /// Expected number of tokens still to generate; zero when unknown.
    std::uint64_t expectedTokens = 0;

    /// Tokens that the engine reads before it generates, including those of a resumed response.
    std::uint64_t promptTokens = 0;
};

}
