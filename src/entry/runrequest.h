#pragma once

#include "base/attemptid.h"
#include "base/timestamp.h"
#include "limits/queuedrequest.h"
#include "net/attemptrequest.h"
#include "steps/samplebody.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Basilbend
{

/// A request that an entry runs on an endpoint, in as many attempts as it takes.
struct RunRequest {
    std::string requestId;
    std::string workspace;
    /// Digest of the caller's key, to end the request when it is withdrawn; empty for open routes and steps.
    std::string keyDigest;
    RequestClass requestClass = RequestClass::Live;

    /// Whether it may run again after an unknown outcome.
    bool idempotent = true;
    Timestamp deadline;
    /// How long a request under way waits when no endpoint is left.
    Milliseconds endpointWait{5000};
    std::uint64_t expectedTokens = 0;
    std::uint64_t minimumVersion = 0;
    std::uint64_t preferredVersion = 0;
    std::uint64_t prefixHash = 0;
    std::string traceparent;
    std::uint64_t revision = 0;

    bool isService = false;
    EngineCall engine;
    ServiceCall service;

    /// Output to resume from; empty for a fresh start.
    SampleBody prefix;

    /// The sample of a step that this request produces.
    std::optional<SampleTag> sample;

    /// Attempts at most; the samples of steps are repeated by their step.
    std::uint64_t maxAttempts = 5;

    /// An endpoint to be avoided if there is another; empty for none.
    std::string avoidEndpoint;

    /// The policy or the route, by which endpoints are chosen and retries are counted.
    const std::string &target() const
    {
        return isService ? service.route : engine.model;
    }
};

/// How a request ended well.
struct RunResult {
    /// The whole output of an engine, its prefix included.
    SampleBody body;
    std::uint64_t promptTokens = 0;

    /// The answer of a plain service.
    int status = 0;
    HttpHeaders headers;
    std::string answer;

    std::string endpoint;
    std::uint64_t attempts = 0;
};

/// Receives the output of a request. Calls come one at a time and end with finished() or failed().
class RunSink
{
public:
    virtual ~RunSink() = default;

    /// True when text() passes output on at once. Output that was passed on can't be replaced by a later attempt.
    virtual bool isStreaming() const = 0;

    /// An attempt is handed to the sidecar of an endpoint.
    virtual void attemptSent(const AttemptId &attempt, const std::string &endpoint, std::uint64_t version)
    {
        (void)attempt;
        (void)endpoint;
        (void)version;
    }

    /// Output of the attempt under way; version zero while it is not proved.
    virtual void received(std::string_view text, std::uint64_t tokens, std::uint64_t version)
    {
        (void)text;
        (void)tokens;
        (void)version;
    }

    virtual void text(std::string_view text, std::uint64_t tokens) = 0;
    virtual void finished(const RunResult &result) = 0;
    virtual void failed(const Error &error) = 0;
};

}
