#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Basilbend
{

/// Encodes with the standard alphabet and padding (RFC 4648, section 4).
std::string toBase64(std::string_view bytes);

/// Decodes the output of toBase64(). Returns std::nullopt for any other text, including non-canonical encodings.
std::optional<std::string> fromBase64(std::string_view text);

}
