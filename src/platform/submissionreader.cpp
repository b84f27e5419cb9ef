#include "platform/submissionreader.h"

#include "net/base64.h"
#include "platform/jsonfields.h"
#include "platform/wirenames.h"

#include <algorithm>
#include <charconv>
#include <unordered_set>
#include <utility>
#include <vector>

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

BatchSubmission decodeEnvelope(const json &object)
{
    BatchSubmission submission;
    submission.model = Wire::stringOr(object, "model", {});
    submission.minimumVersion = Wire::unsignedOr(object, "minimum_version", 0);
    submission.desiredGroups = Wire::unsignedOr(object, "desired_count", 0);
    return submission;
}

template <typename Names>
bool contains(const Names &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Handler of nlohmann's event interface. Builds the value of one item at a time, and only of the fields that are used, so that no text
/// takes many times its size in memory.
class SubmissionHandler : public nlohmann::json_sax<json>
{
public:
    explicit SubmissionHandler(const SubmissionItemHandler &onItem)
        : m_onItem(onItem)
    {
    }

    /// The result of the reading. isWhole: the text was read to its end.
    Result<BatchSubmission> result(bool isWhole) const
    {
        if (!m_failure.empty()) {
            return Error{ResultCode::MalformedRequest, m_failure};
        }
        if (!isWhole) {
            return Error{ResultCode::MalformedRequest, "not a JSON object"};
        }
        try {
            if (!m_hasItems) {
                throw Wire::FieldError{"items is missing"};
            }
            return decodeEnvelope(m_envelope);
        } catch (const Wire::FieldError &error) {
            return Error{ResultCode::MalformedRequest, error.message};
        }
    }

    bool null() override
    {
        return addValue(nullptr);
    }
    bool boolean(bool value) override
    {
        return addValue(value);
    }
    bool number_integer(number_integer_t value) override
    {
        return addValue(value);
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return addValue(value);
    }
    bool number_float(number_float_t value, const string_t &) override
    {
        return addValue(value);
    }
    bool string(string_t &value) override
    {
        return addValue(std::move(value));
    }
    bool binary(binary_t &) override
    {
        return false;
    }

    bool start_object(std::size_t) override
    {
        return begin(json::object());
    }
    bool start_array(std::size_t) override
    {
        return begin(json::array());
    }
    bool end_object() override
    {
        return end();
    }
    bool end_array() override
    {
        return end();
    }

    bool key(string_t &name) override
    {
        m_key = std::move(name);
        return true;
    }

    bool parse_error(std::size_t, const std::string &, const json::exception &) override
    {
        return false;
    }

private:
    /// The part of the submission that is being read.
    enum class Part {
        None,
        Envelope,
        Items,
        Item,
        Headers,
        Scorer,
    };

    bool fail(const std::string &message)
    {
        const bool isInItems = m_part != Part::None && m_part != Part::Envelope;
        m_failure = isInItems ? "item " + std::to_string(m_ids.size()) + ": " + message : message;
        return false;
    }

    bool isUsed() const
    {
        static const std::vector<std::string> envelopeFields = {"model", "minimum_version", "desired_count"};
        static const std::vector<std::string> itemFields = {"id", "path", "headers", "body", "tokens", "group", "scorer"};
        static const std::vector<std::string> scorerFields = {"id", "host", "path", "body"};
        switch (m_part) {
        case Part::Envelope:
            return contains(envelopeFields, m_key);
        case Part::Item:
            return contains(itemFields, m_key);
        case Part::Scorer:
            return contains(scorerFields, m_key);
        default:
            return true;
        }
    }

    /// The object whose fields are being read.
    json &current()
    {
        switch (m_part) {
        case Part::Envelope:
            return m_envelope;
        case Part::Headers:
            return m_item["headers"];
        case Part::Scorer:
            return m_item["scorer"];
        default:
            return m_item;
        }
    }

    bool addValue(json value)
    {
        if (m_skippedDepth > 0) {
            return true;
        }
        switch (m_part) {
        case Part::None:
            return false;
        case Part::Items:
            return fail("id is missing");
        case Part::Envelope:
            if (m_key == "items") {
                return fail(value.is_null() ? "items is missing" : "items must be a list");
            }
            break;
        case Part::Headers:
            if (!value.is_string()) {
                return fail("header " + m_key + " must be a text");
            }
            if (current().size() >= SubmissionLimits::MaxItemHeaders) {
                return fail("more than " + std::to_string(SubmissionLimits::MaxItemHeaders) + " headers");
            }
            break;
        default:
            break;
        }
        if (isUsed()) {
            current()[m_key] = std::move(value);
        }
        return true;
    }

    bool begin(json container)
    {
        const bool isObject = container.is_object();
        if (m_skippedDepth > 0) {
            ++m_skippedDepth;
            return true;
        }
        if (m_part == Part::None && isObject) {
            m_part = Part::Envelope;
            return true;
        }
        if (m_part == Part::Envelope && m_key == "items" && !isObject) {
            if (std::exchange(m_hasItems, true)) {
                return fail("items stands twice");
            }
            m_part = Part::Items;
            return true;
        }
        if (m_part == Part::Items && isObject) {
            m_part = Part::Item;
            m_item = json::object();
            return true;
        }
        if (m_part == Part::Item && isObject && (m_key == "headers" || m_key == "scorer")) {
            m_part = m_key == "headers" ? Part::Headers : Part::Scorer;
            m_item[m_key] = std::move(container);
            return true;
        }
        return skip(std::move(container));
    }

    /// Ignores a container in a field that is not used. In one that is used, it is a value of the wrong type.
    bool skip(json container)
    {
        if (m_part == Part::None) {
            return false;
        }
        const bool isFieldOfMap = m_part == Part::Items || m_part == Part::Headers;
        const bool isItemList = m_part == Part::Envelope && m_key == "items";
        if (isFieldOfMap || isItemList) {
            return addValue(std::move(container));
        }
        if (isUsed()) {
            return fail(m_key + " has the wrong type");
        }
        m_skippedDepth = 1;
        return true;
    }

    bool end()
    {
        if (m_skippedDepth > 0) {
            --m_skippedDepth;
            return true;
        }
        switch (m_part) {
        case Part::Headers:
        case Part::Scorer:
            m_part = Part::Item;
            return true;
        case Part::Item:
            m_part = Part::Items;
            return finishItem();
        case Part::Items:
            m_part = Part::Envelope;
            return true;
        default:
            m_part = Part::None;
            return true;
        }
    }

    bool finishItem()
    {
        if (m_ids.size() >= SubmissionLimits::MaxItems) {
            return fail("a batch has at most " + std::to_string(SubmissionLimits::MaxItems) + " items");
        }
        try {
            auto item = decodeItem(m_item);
            auto id = item.id;
            if (m_ids.count(id) > 0) {
                return fail("id " + id + " stands twice");
            }
            if (const auto reason = m_onItem(std::move(item))) {
                return fail(*reason);
            }
            m_ids.insert(std::move(id));
            return true;
        } catch (const Wire::FieldError &error) {
            return fail(error.message);
        }
    }

    const SubmissionItemHandler &m_onItem;
    Part m_part = Part::None;
    /// Number of open containers within the value of a field that is ignored.
    std::size_t m_skippedDepth = 0;
    std::string m_key;
    json m_envelope = json::object();
    json m_item;
    bool m_hasItems = false;
    std::unordered_set<std::string> m_ids;
    std::string m_failure;
};

}

Result<BatchSubmission> readSubmission(std::string_view body, const SubmissionItemHandler &onItem)
{
    SubmissionHandler handler(onItem);
    const bool isWhole = json::sax_parse(body, &handler);
    return handler.result(isWhole);
}

}
