#pragma once

#include "base/timestamp.h"
#include "limits/queuedrequest.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// Engines of one kind that serve one policy.
struct TracePool {
    std::string policy;

    /// Replicas per zone at the start, and at most.
    std::map<std::string, std::uint64_t> ready;
    std::map<std::string, std::uint64_t> most;

    /// Requests in an engine at once.
    std::uint64_t engineBound = 16;

    /// Tokens per second of a single stream, and the number of further streams that halve it.
    std::uint64_t streamRate = 50;
    std::uint64_t halfBatch = 24;

    /// Prompt tokens per second.
    std::uint64_t prefillRate = 6000;
    Milliseconds startUp{30000};
    Milliseconds swapPause{1500};

    /// Tokens per second of one stream in a full engine.
    double fullStreamRate() const;

    /// Tokens per second of a full engine.
    double fullRate() const;

    /// Tokens per second of one stream in an engine full of such requests, with the time that their prompts take.
    double streamRateOf(std::uint64_t promptTokens, std::uint64_t tokens) const;

    /// Generated tokens that one token of the prompt costs in a full engine.
    double promptWeight() const;
};

struct TraceWorkspace {
    std::string name;
    std::uint64_t share = 1;

    /// Tokens per second promised per policy; over all policies together.
    std::uint64_t promise = 0;

    /// Tokens per second allowed; zero for no limit.
    std::uint64_t limit = 0;
};

struct TraceRequest {
    Timestamp at;
    std::string workspace;
    std::string policy;
    std::string zone;
    RequestClass requestClass = RequestClass::Live;
    std::uint64_t promptTokens = 0;

    /// Tokens that the response has; the service learns them only as they are generated.
    std::uint64_t tokens = 0;
    Milliseconds deadline{0};

    /// Hash of the first blocks of the prompt; zero for none.
    std::uint64_t prefix = 0;
};

struct TraceSample {
    std::uint64_t group = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t tokens = 0;
};

/// Opens its first step at its time, and each further one when the step before is complete; training on that one takes
/// trainTime.
struct TraceTrainer {
    Timestamp at;
    std::string name;
    std::string workspace;
    std::string policy;
    std::string zone;
    std::uint64_t stalenessBound = 0;
    Milliseconds trainTime{0};
    std::vector<std::vector<TraceSample>> steps;
};

struct TracePublication {
    Timestamp at;
    std::string policy;
    std::uint64_t version = 0;
};

struct TraceFault {
    enum class Kind {
        Crash,
        Slow,
    };

    Timestamp at;

    /// "policy/zone/number".
    std::string endpoint;
    Kind kind = Kind::Crash;

    /// Slow: time per token is multiplied by this.
    std::uint64_t factor = 1;
    Milliseconds span{0};
};

/// A recording: what callers, trainers, weights and faults did. What the service did is found by replaying it.
struct Trace {
    std::string name;
    std::vector<TracePool> pools;
    std::vector<TraceWorkspace> workspaces;
    std::vector<TraceRequest> requests;
    std::vector<TraceTrainer> trainers;
    std::vector<TracePublication> publications;
    std::vector<TraceFault> faults;
    Timestamp end;

    std::vector<std::string> zones() const;
    const TracePool *pool(const std::string &policy) const;
};

}
