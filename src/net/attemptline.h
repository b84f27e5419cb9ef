#pragma once

#include "base/result.h"
#include "net/httpserver.h"
#include "versions/versionsegment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Basilbend
{

/// Token counts that one attempt is billed for.
struct TokenUsage {
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
};

/// One line of the response stream that a sidecar sends for an attempt. Each line carries the attempt's identifier. All lines
/// except keep-alives are numbered from zero, so that a reader can resume the stream after the last line it received.
struct AttemptLine {
    enum class Kind {
        Accepted,
        Started,
        Delta,
        /// The HTTP response of a plain service.
        Answer,
        Finished,
        /// Last line of an attempt that did not finish; error.execution says whether the request was executed.
        Refused,
        KeepAlive,
    };

    std::string attempt;
    Kind kind = Kind::KeepAlive;
    std::uint64_t number = 0;

    /// Incarnation of the sidecar; set on Accepted lines.
    std::uint64_t incarnation = 0;

    /// Set on Delta lines: the new text, its token count and the weight version that produced it. The version is unset until it is
    /// confirmed.
    std::string text;
    std::uint64_t tokens = 0;
    std::optional<std::uint64_t> version;

    /// Set on Answer lines. The body is base64-encoded on the wire.
    int status = 0;
    HttpHeaders headers;
    std::string body;

    /// Set on Finished and Refused lines. Token positions in the version segments are relative to this attempt.
    TokenUsage usage;
    VersionList versions;
    std::string finishReason;
    Error error;

    /// Returns true for Finished and Refused, the last line of an attempt.
    bool isLast() const;

    /// Serializes to one line of JSON without the line break.
    std::string toText() const;
    /// Parses one line; returns std::nullopt if the text is malformed.
    static std::optional<AttemptLine> fromText(std::string_view text);
};

/// Returns the JSON body of an error response, as sent to callers and entries.
std::string errorBody(const Error &error);

/// Parses a body made by errorBody(). Returns EndpointFailed with Execution::Unknown if the body is malformed.
Error errorFromBody(std::string_view body);

}
