#include "platform/jsonfields.h"

#include <cmath>

namespace Basilbend::Wire
{

namespace
{

/// Up to this number a double represents each whole number.
constexpr double MaxExactDouble = 9007199254740992.0;

const nlohmann::json *findField(const nlohmann::json &object, const char *name)
{
    const auto it = object.is_object() ? object.find(name) : object.end();
    return !object.is_object() || it == object.end() || it->is_null() ? nullptr : &*it;
}

const nlohmann::json &requiredField(const nlohmann::json &object, const char *name)
{
    const auto *field = findField(object, name);
    if (field == nullptr) {
        throw FieldError{std::string(name) + " is missing"};
    }
    return *field;
}

std::string asString(const nlohmann::json &field, const char *name)
{
    if (!field.is_string()) {
        throw FieldError{std::string(name) + " must be a text"};
    }
    return field.get<std::string>();
}

std::uint64_t asUnsigned(const nlohmann::json &field, const char *name)
{
    if (field.is_number_unsigned()) {
        return field.get<std::uint64_t>();
    }
    // JSON does not tell 2 from 2.0 (RFC 8259, section 6), so a writer may use either.
    const double n = field.is_number_float() ? field.get<double>() : -1;
    if (!(n >= 0 && n <= MaxExactDouble && n == std::floor(n))) {
        throw FieldError{std::string(name) + " must be a whole number without sign"};
    }
    return static_cast<std::uint64_t>(n);
}

}

std::string requiredString(const nlohmann::json &object, const char *name)
{
    return asString(requiredField(object, name), name);
}

std::string stringOr(const nlohmann::json &object, const char *name, const std::string &fallback)
{
    const auto *field = findField(object, name);
    return field == nullptr ? fallback : asString(*field, name);
}

std::uint64_t requiredUnsigned(const nlohmann::json &object, const char *name)
{
    return asUnsigned(requiredField(object, name), name);
}

std::uint64_t unsignedOr(const nlohmann::json &object, const char *name, std::uint64_t fallback)
{
    const auto *field = findField(object, name);
    return field == nullptr ? fallback : asUnsigned(*field, name);
}

double numberOr(const nlohmann::json &object, const char *name, double fallback)
{
    const auto *field = findField(object, name);
    if (field == nullptr) {
        return fallback;
    }
    if (!field->is_number()) {
        throw FieldError{std::string(name) + " must be a number"};
    }
    return field->get<double>();
}

bool boolOr(const nlohmann::json &object, const char *name, bool fallback)
{
    const auto *field = findField(object, name);
    if (field == nullptr) {
        return fallback;
    }
    if (!field->is_boolean()) {
        throw FieldError{std::string(name) + " must be true or false"};
    }
    return field->get<bool>();
}

const nlohmann::json &requiredArray(const nlohmann::json &object, const char *name)
{
    const auto &field = requiredField(object, name);
    if (!field.is_array()) {
        throw FieldError{std::string(name) + " must be a list"};
    }
    return field;
}

const nlohmann::json &arrayOrEmpty(const nlohmann::json &object, const char *name)
{
    static const auto empty = nlohmann::json::array();
    return findField(object, name) == nullptr ? empty : requiredArray(object, name);
}

}
