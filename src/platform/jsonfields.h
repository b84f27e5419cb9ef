#pragma once

#include "base/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace Basilbend::Wire
{

/// Readers of JSON fields that fail with MalformedRequest and the field's name. The variants with a fallback accept a
/// missing field, but not one of another type.
std::string requiredString(const nlohmann::json &object, const char *name);
std::string stringOr(const nlohmann::json &object, const char *name, const std::string &fallback);
std::uint64_t requiredUnsigned(const nlohmann::json &object, const char *name);
std::uint64_t unsignedOr(const nlohmann::json &object, const char *name, std::uint64_t fallback);
double numberOr(const nlohmann::json &object, const char *name, double fallback);
bool boolOr(const nlohmann::json &object, const char *name, bool fallback);
const nlohmann::json &requiredArray(const nlohmann::json &object, const char *name);
const nlohmann::json &arrayOrEmpty(const nlohmann::json &object, const char *name);

/// Thrown by the readers above; the codecs turn it into an Error.
struct FieldError {
    std::string message;
};

/// Parses a text and hands the object to a decoder; a text that is no JSON object, and a FieldError, give MalformedRequest.
template <typename T>
Result<T> decodeObject(std::string_view text, T (*decode)(const nlohmann::json &))
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return Error{ResultCode::MalformedRequest, "not a JSON object"};
    }
    try {
        return decode(json);
    } catch (const FieldError &error) {
        return Error{ResultCode::MalformedRequest, error.message};
    }
}

}
