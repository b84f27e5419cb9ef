#include "forwarding/requestgrant.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace
{

using nlohmann::json;

json candidateList(const std::vector<GrantCandidate> &candidates)
{
    auto list = json::array();
    for (const auto &candidate : candidates) {
        list.push_back({{"endpoint", candidate.endpoint.id},
                        {"started_at_ms", candidate.endpoint.startedAtMs},
                        {"requests_per_second", candidate.requestsPerSecond},
                        {"age_ms", candidate.age.count()}});
    }
    return list;
}

std::vector<GrantCandidate> decodeCandidates(const json &list)
{
    std::vector<GrantCandidate> candidates;
    for (const auto &object : list) {
        candidates.push_back({{object.at("endpoint").get<std::string>(), object.at("started_at_ms").get<std::int64_t>()},
                              object.at("requests_per_second").get<double>(),
                              Milliseconds(object.at("age_ms").get<std::int64_t>())});
    }
    return candidates;
}

template <typename T, typename Decode>
Result<T> decodeMessage(std::string_view text, Decode decode)
{
    try {
        return decode(json::parse(text));
    } catch (const json::exception &error) {
        return Error{ResultCode::MalformedRequest, error.what()};
    }
}

}

std::string encodeGrantRequest(const GrantRequest &request)
{
    return json{{"candidates", candidateList(request.candidates)}, {"unnamed", candidateList(request.unnamed)}}.dump();
}

Result<GrantRequest> decodeGrantRequest(std::string_view text)
{
    return decodeMessage<GrantRequest>(text, [](const json &object) {
        return GrantRequest{decodeCandidates(object.at("candidates")), decodeCandidates(object.at("unnamed"))};
    });
}

std::string encodeGrantReply(const GrantReply &reply)
{
    return json{{"granted", reply.granted}, {"retry_after_ms", reply.retryAfter.count()}, {"unlimited", reply.unlimited}}.dump();
}

Result<GrantReply> decodeGrantReply(std::string_view text)
{
    return decodeMessage<GrantReply>(text, [](const json &object) {
        return GrantReply{object.at("granted").get<std::string>(),
                          Milliseconds(object.at("retry_after_ms").get<std::int64_t>()),
                          object.at("unlimited").get<std::vector<std::string>>()};
    });
}

}
