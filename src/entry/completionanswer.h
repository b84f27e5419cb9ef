#pragma once

#include "entry/runrequest.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Basilbend
{

/// Writes answers to completions in the shape of today's model servers, with request id, workspace and weight versions.
class CompletionAnswer
{
public:
    /// created is in seconds since the Unix epoch.
    CompletionAnswer(std::string requestId, std::string workspace, std::string model, bool isChat, std::int64_t created);

    std::string whole(const RunResult &result) const;

    // Events of a stream, each with its blank line.
    std::string firstEvent() const;
    std::string textEvent(std::string_view text) const;
    std::string lastEvents(const RunResult &result, bool includeUsage) const;
    static std::string errorEvent(const Error &error);
    static std::string keepAliveComment();

    const std::string &requestId() const;
    const std::string &workspace() const;

private:
    std::string m_requestId;
    std::string m_workspace;
    std::string m_model;
    bool m_isChat;
    std::int64_t m_created;
    /// A text event up to its text and behind it; only the text differs between events.
    std::string m_textHead;
    std::string m_textTail;
};

}
