#pragma once

#include "base/attemptid.h"
#include "base/result.h"
#include "limits/queuedrequest.h"
#include "net/httpserver.h"
#include "versions/versionsegment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Basilbend
{

/// A request to a model engine. Parameters is a JSON object of sampling parameters that the engine takes as they are.
struct EngineCall {
    std::string model;
    std::string prompt;
    std::uint64_t maxTokens = 0;
    std::string parameters = "{}";
    /// What an earlier attempt has produced; the engine goes on behind it.
    std::string resumeText;
};

/// A request to a plain service, with headers that may travel on.
struct ServiceCall {
    std::string route;
    std::string method;
    /// Path and query behind the route's name.
    std::string target;
    HttpHeaders headers;
    std::string body;
};

/// Marks an attempt that produces a sample of a step; the sidecar keeps its result until the trainer has it.
struct SampleTag {
    std::string step;
    std::uint32_t index = 0;
    /// Tokens and versions of the text that the attempt resumes from.
    std::uint64_t prefixTokens = 0;
    VersionList prefixVersions;
};

/// Words of a text. Engines that do not count prompt tokens are charged by words, a lower bound for the usual tokenizers.
std::uint64_t countWords(std::string_view text);

/// What an entry sends to a sidecar. The caller's key is not a part of it.
struct AttemptRequest {
    AttemptId id;

    /// Incarnation of the sidecar that the entry chose.
    std::uint64_t sidecarIncarnation = 0;
    std::string requestId;
    std::string workspace;
    RequestClass requestClass = RequestClass::Live;
    bool idempotent = false;

    /// Time left until the deadline.
    Milliseconds timeLeft{0};
    std::uint64_t expectedTokens = 0;
    std::uint64_t minimumVersion = 0;
    std::string traceparent;
    std::uint64_t revision = 0;

    /// Deltas that follow one another faster than this are joined into one line.
    Milliseconds joinDeltas{0};

    /// Either an engine or a service call, by the kind of the endpoint.
    bool isService = false;
    EngineCall engine;
    ServiceCall service;
    std::optional<SampleTag> sample;

    std::string toText() const;
    /// MalformedRequest when a field is missing or wrong.
    static Result<AttemptRequest> fromText(std::string_view text);
};

}
