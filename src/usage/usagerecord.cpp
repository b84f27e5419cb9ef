#include "usage/usagerecord.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Basilbend
{

namespace Internal
{

constexpr std::string_view UsageCauseNames[] = {"normal", "retried", "cancelled", "hedged"};

}

std::string_view usageCauseName(UsageCause cause)
{
    return Internal::UsageCauseNames[static_cast<std::size_t>(cause)];
}

std::optional<UsageCause> usageCauseFromName(std::string_view name)
{
    for (std::size_t i = 0; i < std::size(Internal::UsageCauseNames); ++i) {
        if (Internal::UsageCauseNames[i] == name) {
            return static_cast<UsageCause>(i);
        }
    }
    return std::nullopt;
}

std::uint64_t usageWindow(Timestamp time, Milliseconds length)
{
    return static_cast<std::uint64_t>(time.milliseconds() / length.count());
}

bool operator==(const UsageRecord &a, const UsageRecord &b)
{
    return std::tie(a.attempt, a.workspace, a.window, a.cause, a.inputTokens, a.outputTokens)
        == std::tie(b.attempt, b.workspace, b.window, b.cause, b.inputTokens, b.outputTokens);
}

nlohmann::json usageRecordToJson(const UsageRecord &record)
{
    return nlohmann::json::array(
        {record.attempt.sequence, record.workspace, record.window, usageCauseName(record.cause), record.inputTokens, record.outputTokens});
}

UsageRecord usageRecordFromJson(const nlohmann::json &json, const std::string &entry, std::uint64_t incarnation)
{
    const auto cause = usageCauseFromName(json.at(3).get<std::string>());
    if (!cause) {
        throw std::invalid_argument("unknown usage cause");
    }
    return {{entry, incarnation, json.at(0).get<std::uint64_t>()},
            json.at(1).get<std::string>(),
            json.at(2).get<std::uint64_t>(),
            *cause,
            json.at(4).get<std::uint64_t>(),
            json.at(5).get<std::uint64_t>()};
}

}
