#pragma once

#include "base/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace Basilbend::Wire
{

/// Read a field of a JSON object. They throw FieldError with the name of the field if it has the wrong type. If the field is
/// missing or null, the functions named required throw too, and the others return a fallback.
std::string requiredString(const nlohmann::json &object, const char *name);
std::string stringOr(const nlohmann::json &object, const char *name, const std::string &fallback);
std::uint64_t requiredUnsigned(const nlohmann::json &object, const char *name);
std::uint64_t unsignedOr(const nlohmann::json &object, const char *name, std::uint64_t fallback);
double numberOr(const nlohmann::json &object, const char *name, double fallback);
bool boolOr(const nlohmann::json &object, const char *name, bool fallback);
const nlohmann::json &requiredArray(const nlohmann::json &object, const char *name);
const nlohmann::json &arrayOrEmpty(const nlohmann::json &object, const char *name);

/// Thrown by the functions above. decodeObject() turns it into an Error.
struct FieldError {
    std::string message;
};

/// Parses the text and decodes the object. Fails with MalformedRequest if the text is not a JSON object or the decoder throws
/// FieldError.
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
