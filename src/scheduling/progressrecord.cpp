#include "scheduling/progressrecord.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

using nlohmann::json;

std::string encodeProgress(const ProgressRecord &record)
{
    auto list = json::array();
    for (const auto &resumable : record.texts) {
        auto events = json::array();
        for (const auto &event : resumable.text.events()) {
            events.push_back({event.data, event.version});
        }
        list.push_back({{"item", resumable.itemId}, {"last", resumable.text.lastEventId()}, {"complete", resumable.isComplete}, {"events", std::move(events)}});
    }
    const json object{{"listed", record.listed}, {"items", std::move(list)}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ProgressRecord> decodeProgress(std::string_view text)
{
    try {
        const auto whole = json::parse(text);
        ProgressRecord record;
        record.listed = whole.at("listed").get<std::vector<std::string>>();
        for (const auto &object : whole.at("items")) {
            ResumableText resumable;
            resumable.itemId = object.at("item").get<std::string>();
            resumable.isComplete = object.value("complete", false);
            const auto &events = object.at("events");
            auto id = object.at("last").get<std::uint64_t>() - events.size();
            for (const auto &event : events) {
                resumable.text.append(++id, event.at(0).get<std::string>(), event.at(1).get<std::uint64_t>());
            }
            record.texts.push_back(std::move(resumable));
        }
        return record;
    } catch (const json::exception &error) {
        return Error{ResultCode::MalformedRequest, error.what()};
    }
}

}
