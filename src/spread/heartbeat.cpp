#include "spread/heartbeat.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace Internal
{

void editsToJson(const EditRun &edits, nlohmann::json &json)
{
    if (!edits.texts.empty()) {
        json["first_edit"] = edits.first;
        json["edits"] = edits.texts;
    }
}

EditRun editsFromJson(const nlohmann::json &json)
{
    if (!json.contains("edits")) {
        return {};
    }
    return {json.at("first_edit").get<std::uint64_t>(), json.at("edits").get<std::vector<std::string>>()};
}

}

std::string HeartbeatRequest::toJson() const
{
    nlohmann::json json{{"node", node}, {"incarnation", incarnation}, {"revision", revision}};
    Internal::editsToJson(edits, json);
    return json.dump();
}

std::optional<HeartbeatRequest> HeartbeatRequest::fromJson(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        return HeartbeatRequest{json.at("node").get<std::string>(),
                                json.at("incarnation").get<std::uint64_t>(),
                                json.at("revision").get<std::uint64_t>(),
                                Internal::editsFromJson(json)};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string HeartbeatResponse::toJson() const
{
    nlohmann::json json{{"revision", revision}};
    Internal::editsToJson(edits, json);
    if (!snapshot.empty()) {
        json["snapshot"] = snapshot;
    }
    auto &list = json["stamps"] = nlohmann::json::array();
    for (const auto &stamp : stamps) {
        list.push_back({stamp.zone, stamp.storeReachable, stamp.revision, stamp.age.count()});
    }
    return json.dump();
}

std::optional<HeartbeatResponse> HeartbeatResponse::fromJson(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        HeartbeatResponse response;
        response.revision = json.at("revision").get<std::uint64_t>();
        response.edits = Internal::editsFromJson(json);
        response.snapshot = json.value("snapshot", std::string());
        for (const auto &stamp : json.at("stamps")) {
            response.stamps.push_back(
                {stamp.at(0).get<std::string>(), stamp.at(1).get<bool>(), stamp.at(2).get<std::uint64_t>(), Milliseconds(stamp.at(3).get<std::int64_t>())});
        }
        return response;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

}
