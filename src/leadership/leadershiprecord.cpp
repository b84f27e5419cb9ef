#include "leadership/leadershiprecord.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace Internal
{

nlohmann::json processToJson(const ProcessIdentity &process)
{
    return {{"node", process.node}, {"address", process.address}, {"incarnation", process.incarnation}};
}

ProcessIdentity processFromJson(const nlohmann::json &json)
{
    return {json.at("node").get<std::string>(), json.at("address").get<std::string>(), json.at("incarnation").get<std::uint64_t>()};
}

}

void LeadershipRecord::addPredecessor(const DutyHolder &predecessor)
{
    const auto it = std::find_if(predecessors.begin(), predecessors.end(), [&](const auto &p) { return p.process.sameLife(predecessor.process); });
    if (it == predecessors.end()) {
        predecessors.push_back(predecessor);
    } else {
        it->epoch = std::max(it->epoch, predecessor.epoch);
    }
}

std::string LeadershipRecord::toJson() const
{
    auto list = nlohmann::json::array();
    for (const auto &predecessor : predecessors) {
        auto item = Internal::processToJson(predecessor.process);
        item["epoch"] = predecessor.epoch;
        list.push_back(std::move(item));
    }
    return nlohmann::json{{"holder", Internal::processToJson(holder)},
                          {"epoch", epoch},
                          {"predecessors", std::move(list)},
                          {"writer", Internal::processToJson(writer)},
                          {"write", write}}
        .dump();
}

std::optional<LeadershipRecord> LeadershipRecord::fromJson(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        LeadershipRecord record;
        record.holder = Internal::processFromJson(json.at("holder"));
        record.epoch = json.at("epoch").get<std::uint64_t>();
        record.writer = Internal::processFromJson(json.at("writer"));
        record.write = json.at("write").get<std::uint64_t>();
        for (const auto &item : json.at("predecessors")) {
            record.predecessors.push_back({Internal::processFromJson(item), item.at("epoch").get<std::uint64_t>()});
        }
        return record;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

}
