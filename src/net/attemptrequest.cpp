#include "net/attemptrequest.h"

#include "net/base64.h"
#include "net/jsontext.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

using nlohmann::json;

namespace Internal
{

json toJson(const EngineCall &call)
{
    return {{"model", call.model},
            {"prompt", call.prompt},
            {"max_tokens", call.maxTokens},
            {"parameters", json::parse(call.parameters)},
            {"resume_text", call.resumeText}};
}

json toJson(const ServiceCall &call)
{
    return {{"route", call.route}, {"method", call.method}, {"target", call.target}, {"headers", call.headers}, {"body", toBase64(call.body)}};
}

EngineCall engineCallFromJson(const json &object)
{
    EngineCall call;
    call.model = object.at("model").get<std::string>();
    call.prompt = object.at("prompt").get<std::string>();
    call.maxTokens = unsignedField(object, "max_tokens");
    call.parameters = object.at("parameters").dump();
    call.resumeText = object.at("resume_text").get<std::string>();
    return call;
}

ServiceCall serviceCallFromJson(const json &object)
{
    ServiceCall call;
    call.route = object.at("route").get<std::string>();
    call.method = object.at("method").get<std::string>();
    call.target = object.at("target").get<std::string>();
    call.headers = object.at("headers").get<HttpHeaders>();
    const auto body = fromBase64(object.at("body").get_ref<const std::string &>());
    if (!body) {
        throw std::invalid_argument("body is not base64");
    }
    call.body = *body;
    return call;
}

json toJson(const SampleTag &tag)
{
    auto versions = json::array();
    for (const auto &segment : tag.prefixVersions) {
        versions.push_back({segment.version, segment.firstToken});
    }
    return {{"step", tag.step}, {"index", tag.index}, {"prefix_tokens", tag.prefixTokens}, {"prefix_versions", std::move(versions)}};
}

SampleTag sampleTagFromJson(const json &object)
{
    SampleTag tag;
    tag.step = object.at("step").get<std::string>();
    tag.index = object.at("index").get<std::uint32_t>();
    tag.prefixTokens = object.at("prefix_tokens").get<std::uint64_t>();
    for (const auto &segment : object.at("prefix_versions")) {
        tag.prefixVersions.push_back({segment.at(0).get<std::uint64_t>(), segment.at(1).get<std::uint64_t>()});
    }
    return tag;
}

AttemptRequest attemptRequestFromJson(const json &object)
{
    AttemptRequest request;
    const auto id = AttemptId::fromString(object.at("attempt").get<std::string>());
    const auto requestClass = object.at("class").get<std::string>();
    if (!id || (requestClass != "live" && requestClass != "rollout")) {
        throw std::invalid_argument("attempt or class has a wrong value");
    }
    request.id = *id;
    request.sidecarIncarnation = unsignedField(object, "sidecar_incarnation");
    request.requestId = object.at("request_id").get<std::string>();
    request.workspace = object.at("workspace").get<std::string>();
    request.requestClass = requestClass == "live" ? RequestClass::Live : RequestClass::Rollout;
    request.idempotent = object.at("idempotent").get<bool>();
    request.timeLeft = Milliseconds(object.at("time_left_ms").get<std::int64_t>());
    request.expectedTokens = unsignedField(object, "expected_tokens");
    request.minimumVersion = unsignedField(object, "minimum_version");
    request.traceparent = object.at("traceparent").get<std::string>();
    request.revision = unsignedField(object, "revision");
    request.deltaJoinInterval = Milliseconds(object.value("join_deltas_ms", std::int64_t{0}));
    request.isService = object.contains("service");
    if (request.isService) {
        request.service = serviceCallFromJson(object.at("service"));
    } else {
        request.engine = engineCallFromJson(object.at("engine"));
    }
    if (object.contains("sample")) {
        request.sample = sampleTagFromJson(object.at("sample"));
    }
    return request;
}

}

std::uint64_t countWords(std::string_view text)
{
    std::uint64_t words = 0;
    bool inWord = false;
    for (const char c : text) {
        const bool isSpace = c == ' ' || c == '\n' || c == '\t' || c == '\r';
        words += !isSpace && !inWord ? 1 : 0;
        inWord = !isSpace;
    }
    return words;
}

std::string AttemptRequest::toText() const
{
    json object{{"attempt", id.toString()},
                {"sidecar_incarnation", sidecarIncarnation},
                {"request_id", requestId},
                {"workspace", workspace},
                {"class", requestClass == RequestClass::Live ? "live" : "rollout"},
                {"idempotent", idempotent},
                {"time_left_ms", timeLeft.count()},
                {"expected_tokens", expectedTokens},
                {"minimum_version", minimumVersion},
                {"traceparent", traceparent},
                {"revision", revision},
                {"join_deltas_ms", deltaJoinInterval.count()}};
    if (isService) {
        object["service"] = Internal::toJson(service);
    } else {
        object["engine"] = Internal::toJson(engine);
    }
    if (sample) {
        object["sample"] = Internal::toJson(*sample);
    }
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<AttemptRequest> AttemptRequest::fromText(std::string_view text)
{
    try {
        return Internal::attemptRequestFromJson(json::parse(text));
    } catch (const std::exception &exception) {
        return Error{ResultCode::MalformedRequest, exception.what()};
    }
}

}
