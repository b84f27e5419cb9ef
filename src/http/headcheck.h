#pragma once

#include "http/httpfields.h"

#include <string_view>

namespace Basilbend
{

/// Rules for the heads of received messages that parser libraries do not enforce. Readers disagree about a head that breaks one of them, and so
/// about where its body ends, so such a message is invalid as a whole.

/// Whether the name of the field is a token and its value has the syntax of field values (RFC 9110, section 5).
bool isValidField(const HttpField &field);

/// Whether all fields are valid.
bool areValidFields(const HttpFields &fields);

/// Whether the fields that state the length of the body can be followed (RFC 9112, section 6): a Content-Length is a decimal number, and a
/// Transfer-Encoding is "chunked", since no other coding is decoded.
bool isReadableFraming(const HttpFields &fields);

/// Whether a client may accept the status of a response: 100 to 599 (RFC 9110, section 15). 101 answers the request for another protocol, which
/// this system never asks for.
bool isAcceptableStatus(int status);

/// Whether a response with this status has no body, whatever its fields say (RFC 9112, section 6.3).
bool isBodilessStatus(int status);

/// Whether a status line, or its beginning, has a status of three digits (RFC 9112, section 4).
bool hasThreeDigitStatus(std::string_view line);

}
