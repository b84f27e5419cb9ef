#include "net/attemptline.h"

#include "net/base64.h"
#include "net/jsontext.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Basilbend
{

using nlohmann::json;

namespace Internal
{

constexpr std::pair<AttemptLine::Kind, const char *> KindNames[] = {
    {AttemptLine::Kind::Accepted, "accepted"},
    {AttemptLine::Kind::Started, "started"},
    {AttemptLine::Kind::Delta, "delta"},
    {AttemptLine::Kind::Answer, "answer"},
    {AttemptLine::Kind::Finished, "finished"},
    {AttemptLine::Kind::Refused, "refused"},
    {AttemptLine::Kind::KeepAlive, "keep_alive"},
};

const char *kindName(AttemptLine::Kind kind)
{
    return std::find_if(std::begin(KindNames), std::end(KindNames), [kind](const auto &item) { return item.first == kind; })->second;
}

std::optional<AttemptLine::Kind> kindFromName(const std::string &name)
{
    const auto *it = std::find_if(std::begin(KindNames), std::end(KindNames), [&name](const auto &item) { return name == item.second; });
    return it == std::end(KindNames) ? std::nullopt : std::optional(it->first);
}

// Nearly all lines are deltas, so they are serialized and parsed without building a JSON tree. The text is the last field.
constexpr std::string_view DeltaPrefix = "{\"type\":\"delta\",\"attempt\":\"";
constexpr std::string_view NumberField = "\",\"number\":";
constexpr std::string_view TokensField = ",\"tokens\":";
constexpr std::string_view VersionField = ",\"version\":";
constexpr std::string_view TextField = ",\"text\":\"";
constexpr std::string_view DeltaSuffix = "\"}";

std::string compactDelta(const AttemptLine &line)
{
    std::string text(DeltaPrefix);
    text.append(line.attempt).append(NumberField).append(std::to_string(line.number));
    text.append(TokensField).append(std::to_string(line.tokens));
    if (line.version) {
        text.append(VersionField).append(std::to_string(*line.version));
    }
    text.append(TextField.substr(0, TextField.size() - 1));
    appendJsonString(text, line.text);
    text.push_back('}');
    return text;
}

bool consumePrefix(std::string_view &text, std::string_view expected)
{
    if (text.substr(0, expected.size()) != expected) {
        return false;
    }
    text.remove_prefix(expected.size());
    return true;
}

bool parseUnsigned(std::string_view &text, std::uint64_t &value)
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    const auto n = static_cast<std::size_t>(end - text.data());
    text.remove_prefix(n);
    return ec == std::errc{} && n > 0;
}

/// Parses the compact form of a delta. Returns false for any other text, which may still be a valid line for the JSON parser.
bool parseCompactDelta(std::string_view text, AttemptLine &line)
{
    if (!consumePrefix(text, DeltaPrefix)) {
        return false;
    }
    const auto end = text.find('"');
    if (end == std::string_view::npos) {
        return false;
    }
    line.attempt = text.substr(0, end);
    text.remove_prefix(end);
    if (!consumePrefix(text, NumberField) || !parseUnsigned(text, line.number) || !consumePrefix(text, TokensField) || !parseUnsigned(text, line.tokens)) {
        return false;
    }
    if (consumePrefix(text, VersionField) && !parseUnsigned(text, line.version.emplace())) {
        return false;
    }
    if (!consumePrefix(text, TextField) || text.size() < DeltaSuffix.size() || text.substr(text.size() - DeltaSuffix.size()) != DeltaSuffix) {
        return false;
    }
    text.remove_suffix(DeltaSuffix.size());
    line.text = text;
    line.kind = AttemptLine::Kind::Delta;
    return isPlainJsonText(text) && isPlainJsonText(line.attempt);
}

std::string serialize(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json errorObject(const Error &error)
{
    return {{"code", static_cast<int>(error.code)},
            {"name", resultCodeName(error.code)},
            {"message", error.message},
            {"execution", executionName(error.execution)},
            {"retry_after_ms", error.retryAfter.count()}};
}

Error errorFromJson(const json &object)
{
    Error error;
    const auto number = object.at("code").get<int>();
    const auto &codes = allResultCodes();
    const auto it = std::find_if(codes.begin(), codes.end(), [number](ResultCode code) { return static_cast<int>(code) == number; });
    error.code = it == codes.end() ? ResultCode::EndpointFailed : *it;
    error.message = object.at("message").get<std::string>();
    const auto execution = object.at("execution").get<std::string>();
    error.execution = execution == "not_run" ? Execution::NotRun : execution == "ran" ? Execution::Ran : Execution::Unknown;
    error.retryAfter = Milliseconds(object.value("retry_after_ms", std::int64_t{0}));
    return error;
}

void addOutcome(json &object, const AttemptLine &line)
{
    object["usage"] = {{"prompt_tokens", line.usage.promptTokens}, {"completion_tokens", line.usage.completionTokens}};
    auto versions = json::array();
    for (const auto &segment : line.versions) {
        versions.push_back({{"version", segment.version}, {"first_token", segment.firstToken}});
    }
    object["versions"] = std::move(versions);
}

void readOutcome(const json &object, AttemptLine &line)
{
    const auto &usage = object.at("usage");
    line.usage.promptTokens = unsignedField(usage, "prompt_tokens");
    line.usage.completionTokens = unsignedField(usage, "completion_tokens");
    for (const auto &segment : object.at("versions")) {
        line.versions.push_back({unsignedField(segment, "version"), unsignedField(segment, "first_token")});
    }
}

void readFields(const json &object, AttemptLine &line)
{
    switch (line.kind) {
    case AttemptLine::Kind::Accepted:
        line.incarnation = unsignedField(object, "incarnation");
        break;
    case AttemptLine::Kind::Delta:
        line.text = object.at("text").get<std::string>();
        line.tokens = unsignedField(object, "tokens");
        if (object.contains("version")) {
            line.version = unsignedField(object, "version");
        }
        break;
    case AttemptLine::Kind::Answer: {
        line.status = object.at("status").get<int>();
        line.headers = object.at("headers").get<HttpHeaders>();
        const auto body = fromBase64(object.at("body").get_ref<const std::string &>());
        if (!body) {
            throw std::invalid_argument("body is not base64");
        }
        line.body = *body;
        break;
    }
    case AttemptLine::Kind::Finished:
        readOutcome(object, line);
        line.finishReason = object.at("finish_reason").get<std::string>();
        break;
    case AttemptLine::Kind::Refused:
        readOutcome(object, line);
        line.error = errorFromJson(object.at("error"));
        break;
    case AttemptLine::Kind::Started:
    case AttemptLine::Kind::KeepAlive:
        break;
    }
}

}

bool AttemptLine::isLast() const
{
    return kind == Kind::Finished || kind == Kind::Refused;
}

std::string AttemptLine::toText() const
{
    if (kind == Kind::Delta && isPlainJsonText(attempt)) {
        return Internal::compactDelta(*this);
    }
    json object{{"attempt", attempt}, {"type", Internal::kindName(kind)}};
    if (kind != Kind::KeepAlive) {
        object["number"] = number;
    }
    switch (kind) {
    case Kind::Accepted:
        object["incarnation"] = incarnation;
        break;
    case Kind::Delta:
        object["text"] = text;
        object["tokens"] = tokens;
        if (version) {
            object["version"] = *version;
        }
        break;
    case Kind::Answer:
        object["status"] = status;
        object["headers"] = headers;
        object["body"] = toBase64(body);
        break;
    case Kind::Finished:
        Internal::addOutcome(object, *this);
        object["finish_reason"] = finishReason;
        break;
    case Kind::Refused:
        Internal::addOutcome(object, *this);
        object["error"] = Internal::errorObject(error);
        break;
    case Kind::Started:
    case Kind::KeepAlive:
        break;
    }
    return Internal::serialize(object);
}

std::optional<AttemptLine> AttemptLine::fromText(std::string_view text)
{
    AttemptLine plain;
    if (Internal::parseCompactDelta(text, plain)) {
        return plain;
    }
    const auto object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    try {
        AttemptLine line;
        line.attempt = object.at("attempt").get<std::string>();
        const auto kind = Internal::kindFromName(object.at("type").get<std::string>());
        if (!kind) {
            return std::nullopt;
        }
        line.kind = *kind;
        if (line.kind != Kind::KeepAlive) {
            line.number = unsignedField(object, "number");
        }
        Internal::readFields(object, line);
        return line;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string errorBody(const Error &error)
{
    return Internal::serialize({{"error", Internal::errorObject(error)}});
}

Error errorFromBody(std::string_view body)
{
    try {
        return Internal::errorFromJson(json::parse(body).at("error"));
    } catch (const std::exception &) {
        return Error{ResultCode::EndpointFailed, "the peer answered without an error that can be read", Execution::Unknown};
    }
}

}
