#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Basilbend
{

/// Returns true for printable ASCII without quotes and backslashes, which needs no escaping in JSON.
bool isPlainJsonText(std::string_view text);

/// Appends the text as a quoted JSON string. Plain text, which most tokens are, is copied without escaping.
void appendJsonString(std::string &to, std::string_view text);

/// Returns an upper bound of the number of bytes that appendJsonString() appends.
std::size_t maxJsonStringBytes(std::string_view text);

/// Reads a field that must be an unsigned integer; json::get() would convert -1 to a huge number. Throws std::invalid_argument
/// with the field's name.
std::uint64_t unsignedField(const nlohmann::json &object, const char *name);

}
