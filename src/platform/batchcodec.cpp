#include "platform/batchcodec.h"

#include "net/base64.h"
#include "net/jsontext.h"
#include "platform/jsonfields.h"
#include "platform/wirenames.h"

#include <charconv>
#include <set>

namespace Basilbend
{

namespace
{

using nlohmann::json;

HttpFields decodeFields(const json &item)
{
    HttpFields fields;
    const auto it = item.find("headers");
    if (it == item.end()) {
        return fields;
    }
    if (!it->is_object()) {
        throw Wire::FieldError{"headers must be a map"};
    }
    for (const auto &[name, value] : it->items()) {
        if (!value.is_string()) {
            throw Wire::FieldError{"header " + name + " must be a text"};
        }
        fields.add(name, value.get<std::string>());
    }
    return fields;
}

/// Returns the unsigned integer at the start of the text, or zero. Wire::TokenCounts starts with the token count of the prompt.
std::uint64_t leadingUnsigned(std::string_view text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

std::string decodeBody(const json &object, const std::string &owner)
{
    const auto body = fromBase64(Wire::stringOr(object, "body", {}));
    if (!body) {
        throw Wire::FieldError{"body of " + owner + " is not base64"};
    }
    return *body;
}

std::optional<RewardRequest> decodeReward(const json &item, const std::string &itemId)
{
    const auto it = item.find("scorer");
    if (it == item.end() || it->is_null()) {
        return std::nullopt;
    }
    if (!it->is_object()) {
        throw Wire::FieldError{"scorer of item " + itemId + " must be an object"};
    }
    return RewardRequest{
        Wire::requiredString(*it, "id"), Wire::requiredString(*it, "host"), Wire::requiredString(*it, "path"), decodeBody(*it, "the scorer of item " + itemId)};
}

BatchItem decodeItem(const json &object)
{
    BatchItem item;
    item.id = Wire::requiredString(object, "id");
    item.path = Wire::requiredString(object, "path");
    item.fields = decodeFields(object);
    item.body = decodeBody(object, "item " + item.id);
    item.tokens = Wire::unsignedOr(object, "tokens", 0);
    item.group = Wire::stringOr(object, "group", item.id);
    item.promptTokens = std::min(item.tokens, leadingUnsigned(item.fields.value(Wire::TokenCounts)));
    item.lengthHint = leadingUnsigned(item.fields.value(Wire::LengthHint));
    item.reward = decodeReward(object, item.id);
    return item;
}

BatchSubmission decodeSubmissionObject(const json &object)
{
    BatchSubmission submission;
    submission.model = Wire::stringOr(object, "model", {});
    submission.minimumVersion = Wire::unsignedOr(object, "minimum_version", 0);
    submission.desiredGroups = Wire::unsignedOr(object, "desired_count", 0);
    std::set<std::string> ids;
    for (const auto &entry : Wire::requiredArray(object, "items")) {
        submission.items.push_back(decodeItem(entry));
        if (!ids.insert(submission.items.back().id).second) {
            throw Wire::FieldError{"item " + submission.items.back().id + " stands twice"};
        }
    }
    return submission;
}

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
    return Wire::decodeObject(body, decodeSubmissionObject);
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
