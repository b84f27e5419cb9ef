#pragma once

#include <string_view>

namespace Basilbend
{

/// Syntax of the parts of a message head. Text that does not have it may end a line or the head, and so begin another message.

/// Whether the text is a token (RFC 9110, section 5.6.2), as names of fields and methods are.
bool isHttpToken(std::string_view text);

/// Whether the text may be the value of a field (RFC 9110, section 5.5): no control characters but the tab. Bytes above 127 are allowed.
bool isFieldValue(std::string_view text);

/// Whether the text may be a request target in origin form (RFC 9112, section 3.2.1): it begins with a slash and holds neither spaces nor
/// control characters. Bytes above 127 are allowed, as in received targets.
bool isRequestTarget(std::string_view text);

}
