#include "usage/usagebatch.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <xxhash.h>

namespace Basilbend
{

namespace Internal
{

/// Equal lengths keep keys in the order of their numbers.
std::string padded(std::uint64_t n)
{
    constexpr std::size_t Digits = 12;
    const auto text = std::to_string(n);
    return std::string(Digits - std::min(Digits, text.size()), '0') + text;
}

}

std::string usageShard(const std::string &entry, unsigned shards)
{
    return shards <= 1 ? std::string() : std::to_string(XXH3_64bits(entry.data(), entry.size()) % shards);
}

std::string UsageKeys::root() const
{
    return shard.empty() ? "usage/" : "usage/" + shard + "/";
}

std::string UsageKeys::batchPrefix() const
{
    return root() + "batch/";
}

std::string UsageKeys::batch(const std::string &entry, std::uint64_t incarnation, std::uint64_t number) const
{
    return batchPrefix() + entry + "/" + std::to_string(incarnation) + "/" + Internal::padded(number);
}

std::string UsageKeys::sealed(std::uint64_t window) const
{
    return root() + "sealed/" + Internal::padded(window);
}

std::string UsageKeys::progress() const
{
    return root() + "progress";
}

std::string UsageKeys::reportId(std::uint64_t window) const
{
    return shard.empty() ? std::to_string(window) : shard + "/" + std::to_string(window);
}

std::string UsageBatch::toJson() const
{
    nlohmann::json json{{"entry", entry},
                        {"incarnation", incarnation},
                        {"number", number},
                        {"writer", {writer.node, writer.incarnation, write}},
                        {"covered", covered.toString()},
                        {"figures", figures.toJson()}};
    if (!records.empty()) {
        auto &list = json["records"] = nlohmann::json::array();
        for (const auto &record : records) {
            list.push_back(usageRecordToJson(record));
        }
    }
    return json.dump();
}

std::optional<UsageBatch> UsageBatch::fromJson(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        UsageBatch batch;
        batch.entry = json.at("entry").get<std::string>();
        batch.incarnation = json.at("incarnation").get<std::uint64_t>();
        batch.number = json.at("number").get<std::uint64_t>();
        batch.writer.node = json.at("writer").at(0).get<std::string>();
        batch.writer.incarnation = json.at("writer").at(1).get<std::uint64_t>();
        batch.write = json.at("writer").at(2).get<std::uint64_t>();
        batch.figures = UsageFigures::fromJson(json.at("figures"));
        const auto covered = SequenceSet::fromString(json.at("covered").get<std::string>());
        if (!covered) {
            return std::nullopt;
        }
        batch.covered = *covered;
        if (json.contains("records")) {
            for (const auto &item : json.at("records")) {
                batch.records.push_back(usageRecordFromJson(item, batch.entry, batch.incarnation));
            }
        }
        return batch;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    } catch (const std::invalid_argument &) {
        return std::nullopt;
    }
}

}
