#include "entry/completionanswer.h"

#include "net/attemptline.h"
#include "net/jsontext.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

using nlohmann::json;

namespace Internal
{

std::string jsonText(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json usageJson(const RunResult &result)
{
    return {{"prompt_tokens", result.promptTokens}, {"completion_tokens", result.body.tokens}, {"total_tokens", result.promptTokens + result.body.tokens}};
}

json versionsJson(const RunResult &result)
{
    auto versions = json::array();
    for (const auto &segment : result.body.versions) {
        versions.push_back({{"version", segment.version}, {"first_token", segment.firstToken}});
    }
    return versions;
}

}

CompletionAnswer::CompletionAnswer(std::string requestId, std::string workspace, std::string model, bool isChat, std::int64_t created)
    : m_requestId(std::move(requestId))
    , m_workspace(std::move(workspace))
    , m_model(std::move(model))
    , m_isChat(isChat)
    , m_created(created)
{
    m_textHead = "data: {\"id\":" + json(m_requestId).dump() + ",\"object\":\"" + (m_isChat ? "chat.completion.chunk" : "text_completion")
        + "\",\"created\":" + std::to_string(m_created) + ",\"model\":" + json(m_model).dump() + ",\"choices\":[{\"index\":0,"
        + (m_isChat ? "\"delta\":{\"content\":" : "\"text\":");
    m_textTail = std::string(m_isChat ? "}" : "") + ",\"logprobs\":null,\"finish_reason\":null}]}\n\n";
}

std::string CompletionAnswer::whole(const RunResult &result) const
{
    json choice{{"index", 0}, {"logprobs", nullptr}, {"finish_reason", result.body.finishReason}};
    if (m_isChat) {
        choice["message"] = {{"role", "assistant"}, {"content", result.body.text}};
    } else {
        choice["text"] = result.body.text;
    }
    return Internal::jsonText({{"id", m_requestId},
                               {"object", m_isChat ? "chat.completion" : "text_completion"},
                               {"created", m_created},
                               {"model", m_model},
                               {"choices", json::array({std::move(choice)})},
                               {"usage", Internal::usageJson(result)},
                               {"request_id", m_requestId},
                               {"workspace", m_workspace},
                               {"weight_versions", Internal::versionsJson(result)}});
}

std::string CompletionAnswer::firstEvent() const
{
    // Chat clients take the role from the first event.
    return m_isChat ? m_textHead.substr(0, m_textHead.rfind("\"content\"")) + "\"role\":\"assistant\",\"content\":\"\"" + m_textTail : std::string();
}

std::string CompletionAnswer::textEvent(std::string_view text) const
{
    std::string event;
    event.reserve(m_textHead.size() + text.size() + m_textTail.size() + 2);
    event.append(m_textHead);
    appendJsonString(event, text);
    event.append(m_textTail);
    return event;
}

std::string CompletionAnswer::lastEvents(const RunResult &result, bool includeUsage) const
{
    json choice{{"index", 0}, {"logprobs", nullptr}, {"finish_reason", result.body.finishReason}};
    if (m_isChat) {
        choice["delta"] = json::object();
    } else {
        choice["text"] = "";
    }
    json last{{"id", m_requestId},
              {"object", m_isChat ? "chat.completion.chunk" : "text_completion"},
              {"created", m_created},
              {"model", m_model},
              {"choices", json::array({std::move(choice)})},
              {"usage", Internal::usageJson(result)},
              {"request_id", m_requestId},
              {"workspace", m_workspace},
              {"weight_versions", Internal::versionsJson(result)}};
    auto events = "data: " + Internal::jsonText(last) + "\n\n";
    if (includeUsage) {
        last["choices"] = json::array();
        events += "data: " + Internal::jsonText(last) + "\n\n";
    }
    return events + "data: [DONE]\n\n";
}

std::string CompletionAnswer::errorEvent(const Error &error)
{
    return "data: " + errorBody(error) + "\n\n";
}

std::string CompletionAnswer::keepAliveComment()
{
    return ": keep-alive\n\n";
}

const std::string &CompletionAnswer::requestId() const
{
    return m_requestId;
}

const std::string &CompletionAnswer::workspace() const
{
    return m_workspace;
}

}
