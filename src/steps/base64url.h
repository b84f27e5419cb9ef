#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Basilbend::Internal
{

/// Base64 for URLs (RFC 4648, section 5) without padding.
std::string toBase64Url(std::string_view bytes);

/// Returns nothing for text that toBase64Url() can't have made.
std::optional<std::string> fromBase64Url(std::string_view text);

}
