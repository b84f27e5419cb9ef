#include "config/jsonreader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace Internal
{

constexpr std::size_t MaxNameLength = 64;
// Deeper documents are rejected before they are parsed fully, because parsing recurses with the depth.
constexpr int MaxJsonDepth = 64;

bool isName(const std::string &text)
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

}

JsonReader::JsonReader(const nlohmann::json &object, std::string context)
    : m_object(object)
    , m_context(std::move(context))
{
    if (!m_object.is_object()) {
        fail(ResultCode::MalformedRequest, "must be an object");
    }
}

void JsonReader::fail(ResultCode code, const std::string &message)
{
    if (!m_error) {
        m_error = Error{code, m_context + ": " + message};
    }
}

const nlohmann::json *JsonReader::find(const std::string &field, bool required)
{
    m_knownFields.insert(field);
    if (!m_object.is_object()) {
        return nullptr;
    }
    const auto it = m_object.find(field);
    if (it == m_object.end()) {
        if (required) {
            fail(ResultCode::MalformedRequest, "field \"" + field + "\" is missing");
        }
        return nullptr;
    }
    return &*it;
}

std::string JsonReader::text(const std::string &field)
{
    const auto *value = find(field, true);
    if (value && !value->is_string()) {
        fail(ResultCode::MalformedRequest, "field \"" + field + "\" must be a string");
        return {};
    }
    return value ? value->get<std::string>() : std::string();
}

std::string JsonReader::textOr(const std::string &field, std::string fallback)
{
    return find(field, false) ? text(field) : std::move(fallback);
}

std::string JsonReader::name(const std::string &field)
{
    auto value = text(field);
    if (!Internal::isName(value)) {
        fail(ResultCode::ValueOutOfRange, "field \"" + field + "\" must be 1 to 64 characters out of a-z, 0-9, '.', '_' and '-'");
    }
    return value;
}

std::uint64_t JsonReader::number(const std::string &field, std::uint64_t minimum, std::uint64_t maximum)
{
    const auto *value = find(field, true);
    if (!value) {
        return minimum;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < minimum || value->get<std::uint64_t>() > maximum) {
        fail(ResultCode::ValueOutOfRange, "field \"" + field + "\" must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return minimum;
    }
    return value->get<std::uint64_t>();
}

std::uint64_t JsonReader::numberOr(const std::string &field, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum)
{
    return find(field, false) ? number(field, minimum, maximum) : fallback;
}

bool JsonReader::flagOr(const std::string &field, bool fallback)
{
    const auto *value = find(field, false);
    if (value && !value->is_boolean()) {
        fail(ResultCode::MalformedRequest, "field \"" + field + "\" must be true or false");
        return fallback;
    }
    return value ? value->get<bool>() : fallback;
}

std::set<std::string> JsonReader::textsOr(const std::string &field, std::set<std::string> fallback)
{
    const auto *value = find(field, false);
    if (!value) {
        return fallback;
    }
    const auto isText = [](const nlohmann::json &item) { return item.is_string(); };
    if (!value->is_array() || !std::all_of(value->begin(), value->end(), isText)) {
        fail(ResultCode::MalformedRequest, "field \"" + field + "\" must be a list of strings");
        return fallback;
    }
    return value->get<std::set<std::string>>();
}

std::map<std::string, std::uint64_t> JsonReader::numbersOr(const std::string &field, std::map<std::string, std::uint64_t> fallback)
{
    const auto *value = find(field, false);
    if (!value) {
        return fallback;
    }
    const auto isNumber = [](const nlohmann::json &item) { return item.is_number_unsigned(); };
    if (!value->is_object() || !std::all_of(value->begin(), value->end(), isNumber)) {
        fail(ResultCode::MalformedRequest, "field \"" + field + "\" must map names to whole numbers");
        return fallback;
    }
    return value->get<std::map<std::string, std::uint64_t>>();
}

Result<void> JsonReader::result() const
{
    if (m_error) {
        return *m_error;
    }
    for (const auto &item : m_object.items()) {
        if (m_knownFields.count(item.key()) == 0) {
            return Error{ResultCode::UnknownField, m_context + ": field \"" + item.key() + "\" is not known"};
        }
    }
    return boost::outcome_v2::success();
}

Result<nlohmann::json> parseJsonObject(const std::string &text, const std::string &context)
{
    bool tooDeep = false;
    const auto limitDepth = [&tooDeep](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        tooDeep = tooDeep || depth > Internal::MaxJsonDepth;
        return !tooDeep;
    };
    auto parsed = nlohmann::json::parse(text, limitDepth, false);
    if (tooDeep || parsed.is_discarded() || !parsed.is_object()) {
        return Error{ResultCode::MalformedRequest, context + ": must be one JSON object"};
    }
    return parsed;
}

}
