#include "entry/completionrequest.h"

#include <nlohmann/json.hpp>
#include <set>

namespace Basilbend
{

using nlohmann::json;

namespace Internal
{

constexpr std::uint64_t MostTokens = 1000000;
constexpr std::int64_t LongestDeadlineMs = 24 * 3600 * 1000;

/// Ends the reading of a request; the message is for the caller.
struct RequestFault {
    ResultCode code;
    std::string message;
};

const std::set<std::string> &samplingParameters()
{
    static const std::set<std::string> names{
        "temperature", "top_p", "top_k", "min_p", "stop", "seed", "presence_penalty", "frequency_penalty", "repetition_penalty", "logit_bias"};
    return names;
}

/// Fields of client libraries that change nothing in the answer.
const std::set<std::string> &ignoredParameters()
{
    static const std::set<std::string> names{"user", "metadata", "store", "service_tier", "echo", "best_of", "suffix", "logprobs", "top_logprobs", "n"};
    return names;
}

std::uint64_t readNumber(const std::string &name, const json &value, std::uint64_t least, std::uint64_t most)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() < least || value.get<std::uint64_t>() > most) {
        throw RequestFault{ResultCode::ValueOutOfRange, name + " must be a whole number from " + std::to_string(least) + " to " + std::to_string(most)};
    }
    return value.get<std::uint64_t>();
}

std::string readText(const std::string &name, const json &value)
{
    if (!value.is_string()) {
        throw RequestFault{ResultCode::MalformedRequest, name + " must be a text"};
    }
    return value.get<std::string>();
}

bool readFlag(const std::string &name, const json &value)
{
    if (!value.is_boolean()) {
        throw RequestFault{ResultCode::MalformedRequest, name + " must be true or false"};
    }
    return value.get<bool>();
}

std::string readPrompt(const json &value)
{
    const bool isSingleList = value.is_array() && value.size() == 1;
    return readText("prompt", isSingleList ? value[0] : value);
}

std::string readContent(const json &content)
{
    if (!content.is_array()) {
        return readText("content", content);
    }
    std::string text;
    for (const auto &part : content) {
        if (!part.is_object() || part.value("type", "") != "text" || !part.contains("text")) {
            throw RequestFault{ResultCode::ValueOutOfRange, "content may hold parts of type text only"};
        }
        text += readText("text", part["text"]);
    }
    return text;
}

std::string readMessages(const json &messages)
{
    if (!messages.is_array() || messages.empty()) {
        throw RequestFault{ResultCode::MalformedRequest, "messages must be a list that is not empty"};
    }
    std::string prompt;
    for (const auto &message : messages) {
        if (!message.is_object() || !message.contains("role") || !message.contains("content")) {
            throw RequestFault{ResultCode::MalformedRequest, "each message needs role and content"};
        }
        prompt += readText("role", message["role"]) + ": " + readContent(message["content"]) + "\n";
    }
    return prompt + "assistant:";
}

/// Values of ignored fields other than these would change the answer.
void checkIgnored(const std::string &name, const json &value)
{
    const bool isOne = (name == "n" || name == "best_of") && value == 1;
    const bool isOff = value.is_null() || value == false || value == 0 || (value.is_string() && value.get_ref<const std::string &>().empty());
    const bool isLabel = name == "user" || name == "metadata" || name == "store" || name == "service_tier";
    if (!isOne && !isOff && !isLabel) {
        throw RequestFault{ResultCode::ValueOutOfRange, name + " is not supported with this value"};
    }
}

RequestClass readClass(const json &value)
{
    if (value != "live" && value != "rollout") {
        throw RequestFault{ResultCode::ValueOutOfRange, "class must be live or rollout"};
    }
    return value == "live" ? RequestClass::Live : RequestClass::Rollout;
}

bool readIncludeUsage(const json &value)
{
    if (!value.is_object()) {
        throw RequestFault{ResultCode::MalformedRequest, "stream_options must be an object"};
    }
    return value.contains("include_usage") && readFlag("include_usage", value["include_usage"]);
}

void readField(const std::string &name, const json &value, CompletionRequest &request, json &parameters)
{
    if (name == "model") {
        request.model = readText(name, value);
    } else if (name == "prompt" && !request.isChat) {
        request.prompt = readPrompt(value);
    } else if (name == "messages" && request.isChat) {
        request.prompt = readMessages(value);
    } else if (name == "max_tokens" || name == "max_completion_tokens") {
        request.maxTokens = value.is_null() ? request.maxTokens : readNumber(name, value, 1, MostTokens);
    } else if (name == "stream") {
        request.stream = !value.is_null() && readFlag(name, value);
    } else if (name == "stream_options") {
        request.includeUsage = !value.is_null() && readIncludeUsage(value);
    } else if (name == "class") {
        request.requestClass = readClass(value);
    } else if (name == "deadline_ms") {
        request.deadline = Milliseconds(readNumber(name, value, 1, LongestDeadlineMs));
    } else if (name == "minimum_version") {
        request.minimumVersion = readNumber(name, value, 0, std::numeric_limits<std::uint64_t>::max());
    } else if (samplingParameters().count(name) != 0) {
        parameters[name] = value;
    } else if (ignoredParameters().count(name) != 0) {
        checkIgnored(name, value);
    } else {
        throw RequestFault{ResultCode::UnknownField, "the field " + name + " is not known"};
    }
}

}

Result<CompletionRequest> CompletionRequest::fromBody(const std::string &body, bool isChat, std::uint64_t defaultMaxTokens)
{
    const auto object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
        return Error{ResultCode::MalformedRequest, "the body must be a JSON object"};
    }
    CompletionRequest request;
    request.isChat = isChat;
    request.maxTokens = defaultMaxTokens;
    auto parameters = json::object();
    try {
        for (const auto &[name, value] : object.items()) {
            Internal::readField(name, value, request, parameters);
        }
    } catch (const Internal::RequestFault &fault) {
        return Error{fault.code, fault.message};
    }
    if (request.model.empty() || !object.contains(isChat ? "messages" : "prompt")) {
        return Error{ResultCode::MalformedRequest, isChat ? "model and messages are needed" : "model and prompt are needed"};
    }
    request.parameters = parameters.dump();
    return request;
}

}
