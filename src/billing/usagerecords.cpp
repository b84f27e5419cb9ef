#include "billing/usagerecords.h"

#include <nlohmann/json.hpp>

namespace Basilbend::UsageRecords
{

using nlohmann::json;

std::string countPrefix(std::int64_t window)
{
    return "usage/count/" + std::to_string(window) + "/";
}

std::string countKey(std::int64_t window, const std::string &writer)
{
    return countPrefix(window) + writer;
}

std::string sealedKey(std::int64_t window)
{
    return SealedPrefix + std::to_string(window);
}

std::string encodeCounts(const UsageCounts &counts)
{
    return json(counts).dump();
}

std::optional<UsageCounts> decodeCounts(std::string_view text)
{
    try {
        return json::parse(text).get<UsageCounts>();
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

}
