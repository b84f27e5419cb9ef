#include "metadata/feedupdate.h"

#include "net/base64.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace Basilbend
{

namespace
{

using nlohmann::json;

json itemObject(const MetadataItem &item)
{
    return {{"key", item.key}, {"value", toBase64(item.value)}, {"revision", item.revision}, {"removed", item.isRemoval}};
}

/// Returns nothing if the value is not valid base64.
std::optional<MetadataItem> decodeItem(const json &object)
{
    const auto value = fromBase64(object.at("value").get<std::string>());
    if (!value) {
        return std::nullopt;
    }
    MetadataItem item;
    item.key = object.at("key").get<std::string>();
    item.value = *value;
    item.revision = object.at("revision").get<std::uint64_t>();
    item.isRemoval = object.at("removed").get<bool>();
    return item;
}

}

std::string encodeFeedUpdate(const FeedUpdate &update)
{
    auto items = json::array();
    for (const auto &item : update.items) {
        items.push_back(itemObject(item));
    }
    return json{{"after", update.baseRevision},
                {"revision", update.revision},
                {"confirmed", update.confirmedRevision},
                {"proven_at_ms", update.verifiedOffset.count()},
                {"incomplete", update.isIncomplete},
                {"reachable", update.isStoreReachable},
                {"items", std::move(items)}}
        .dump();
}

Result<FeedUpdate> decodeFeedUpdate(std::string_view line)
{
    try {
        const auto object = json::parse(line);
        FeedUpdate update;
        update.baseRevision = object.at("after").get<std::uint64_t>();
        update.revision = object.at("revision").get<std::uint64_t>();
        // Processes of earlier builds do not name it.
        update.confirmedRevision = object.value("confirmed", update.revision);
        update.verifiedOffset = Milliseconds(object.at("proven_at_ms").get<std::int64_t>());
        update.isIncomplete = object.at("incomplete").get<bool>();
        update.isStoreReachable = object.at("reachable").get<bool>();
        for (const auto &entry : object.at("items")) {
            auto item = decodeItem(entry);
            if (!item) {
                return Error{ResultCode::MalformedRequest, "value of an item is not valid base64"};
            }
            update.items.push_back(std::move(*item));
        }
        return update;
    } catch (const json::exception &error) {
        return Error{ResultCode::MalformedRequest, error.what()};
    }
}

}
