#pragma once

#include "base/result.h"
#include "limits/queuedrequest.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Basilbend
{

/// A completion as callers ask for it, in the shape of today's model servers. Beyond it, callers may send "class" (live or
/// rollout), "deadline_ms" and "minimum_version".
struct CompletionRequest {
    bool isChat = false;
    std::string model;
    /// For chats: the messages joined by role.
    std::string prompt;
    std::uint64_t maxTokens = 0;
    bool stream = false;
    bool includeUsage = false;
    /// A JSON object of sampling parameters that the engine takes as they are.
    std::string parameters = "{}";
    RequestClass requestClass = RequestClass::Live;
    std::optional<Milliseconds> deadline;
    std::uint64_t minimumVersion = 0;

    /// Errors: MalformedRequest, UnknownField, ValueOutOfRange; each names the field.
    static Result<CompletionRequest> fromBody(const std::string &body, bool isChat, std::uint64_t defaultMaxTokens);
};

}
