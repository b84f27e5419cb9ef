#include "platform/batchcodec.h"

#include "net/jsontext.h"
#include "platform/clienttext.h"
#include "platform/submissionreader.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace Basilbend
{

namespace
{

using nlohmann::json;

std::string encodeResult(const ItemResult &result)
{
    std::string text = "{\"id\":";
    appendJsonString(text, result.id);
    text += result.outcome == ItemOutcome::Completed ? ",\"state\":\"completed\",\"text\":" : ",\"state\":\"terminated\",\"text\":";
    appendJsonString(text, result.text);
    text += ",\"versions\":" + json(result.versions).dump();
    if (!result.score.empty()) {
        text += ",\"score\":";
        appendJsonString(text, result.score);
    }
    text += "}";
    return text;
}

}

Result<BatchSubmission> decodeSubmission(std::string_view body)
{
    std::vector<BatchItem> items;
    auto submission = readSubmission(body, [&items](BatchItem &&item) {
        items.push_back(std::move(item));
        return std::optional<std::string>();
    });
    if (submission) {
        submission.value().items = std::move(items);
    }
    return submission;
}

Result<std::size_t> checkSubmission(std::string_view body)
{
    std::size_t items = 0;
    const auto submission = readSubmission(body, [&items](const BatchItem &item) {
        ++items;
        return invalidTextOf(item);
    });
    if (!submission) {
        return submission.error();
    }
    return items;
}

std::string encodeResultPage(std::size_t total, std::size_t position, const std::vector<const ItemResult *> &results, std::size_t maxBytes)
{
    std::string list;
    std::size_t n = 0;
    for (const auto *result : results) {
        const auto text = encodeResult(*result);
        if (n > 0 && list.size() + text.size() > maxBytes) {
            break;
        }
        list += (n > 0 ? "," : "") + text;
        ++n;
    }
    return "{\"total\":" + std::to_string(total) + ",\"next\":" + std::to_string(position + n) + ",\"results\":[" + list + "]}";
}

}
