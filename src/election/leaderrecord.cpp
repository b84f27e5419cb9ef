#include "election/leaderrecord.h"

#include <nlohmann/json.hpp>
#include <tuple>

namespace Basilbend
{

using nlohmann::json;

bool operator==(const LeaderRecord &a, const LeaderRecord &b)
{
    return std::tie(a.node, a.incarnation, a.attempt, a.address) == std::tie(b.node, b.incarnation, b.attempt, b.address);
}

std::string encodeLeaderRecord(const LeaderRecord &record)
{
    return json{{"node", record.node}, {"incarnation", record.incarnation}, {"attempt", record.attempt}, {"address", record.address}}.dump();
}

std::optional<LeaderRecord> decodeLeaderRecord(std::string_view text)
{
    try {
        const auto object = json::parse(text);
        return LeaderRecord{object.at("node").get<std::string>(),
                            object.at("incarnation").get<std::string>(),
                            object.at("attempt").get<std::uint64_t>(),
                            // Absent in records written by earlier releases.
                            object.value("address", std::string())};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string encodeRecentLeaders(const std::vector<std::string> &nodes)
{
    return json(nodes).dump();
}

std::vector<std::string> decodeRecentLeaders(std::string_view text)
{
    try {
        return json::parse(text).get<std::vector<std::string>>();
    } catch (const json::exception &) {
        return {};
    }
}

}
