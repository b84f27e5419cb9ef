#include "scheduling/kepttext.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

using nlohmann::json;

std::string encodeKeptTexts(const std::vector<KeptText> &texts)
{
    auto list = json::array();
    for (const auto &kept : texts) {
        auto events = json::array();
        for (const auto &event : kept.text.events()) {
            events.push_back({event.data, event.version});
        }
        list.push_back({{"item", kept.itemId}, {"last", kept.text.lastEventId()}, {"events", std::move(events)}});
    }
    return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<std::vector<KeptText>> decodeKeptTexts(std::string_view text)
{
    try {
        std::vector<KeptText> texts;
        for (const auto &object : json::parse(text)) {
            KeptText kept;
            kept.itemId = object.at("item").get<std::string>();
            const auto &events = object.at("events");
            auto id = object.at("last").get<std::uint64_t>() - events.size();
            for (const auto &event : events) {
                kept.text.append(++id, event.at(0).get<std::string>(), event.at(1).get<std::uint64_t>());
            }
            texts.push_back(std::move(kept));
        }
        return texts;
    } catch (const json::exception &error) {
        return Error{ResultCode::MalformedRequest, error.what()};
    }
}

}
