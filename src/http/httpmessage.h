#pragma once

#include "http/httpfields.h"

#include <string>
#include <string_view>

namespace Basilbend
{

/// A request with its complete body.
struct RequestMessage {
    std::string method;
    /// Path and query as sent on the wire.
    std::string target;
    HttpFields fields;
    std::string body;
};

/// The status and the header fields of a response.
struct ResponseHead {
    int status = 0;
    HttpFields fields;
};

/// A response with its complete body.
struct ResponseMessage {
    int status = 0;
    HttpFields fields;
    std::string body;
};

/// Whether the connection stays open after a message.
enum class Persistence {
    KeepAlive,
    Close,
};

/// Whether the request can be written as one message: no part of its head may end a line or hold control characters.
bool isSerializable(const RequestMessage &request);

/// Serializes a request for which isSerializable() is true. Sets Content-Length when there is a body or the method is POST or PUT.
std::string serializeRequest(const RequestMessage &request);

/// Serializes a response with Content-Length. Omits fields that can't be written as one line, here and in serializeChunkedHead().
std::string serializeResponse(const ResponseMessage &response, Persistence persistence);

/// Serializes the response to a HEAD request: without a body, and without Content-Length, which would be that of the body.
std::string serializeBodiless(const ResponseHead &head, Persistence persistence);

/// Serializes the head of a response whose body is sent with the chunked transfer encoding.
std::string serializeChunkedHead(const ResponseHead &head, Persistence persistence);

/// Serializes one chunk. The data must not be empty, because an empty chunk ends the body.
std::string serializeChunk(std::string_view data);

/// The last chunk, which ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Returns the percent-decoded value of a query parameter, or an empty string.
std::string queryValue(std::string_view target, std::string_view name);

/// Decodes the percent-encoded bytes of a path segment (RFC 3986, section 2.1). Incomplete escapes stay as they are.
std::string percentDecoded(std::string_view text);

/// Returns the target without its query.
std::string_view targetPath(std::string_view target);

/// Percent-encodes all characters except unreserved ones and the slash.
std::string percentEncoded(std::string_view text);

}
