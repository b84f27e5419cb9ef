#pragma once

#include "http/httpfields.h"

#include <string>
#include <string_view>

namespace Basilbend
{

/// A request with its whole body.
struct RequestMessage {
    std::string method;
    /// Path and query as they stand on the wire.
    std::string target;
    HttpFields fields;
    std::string body;
};

/// The status line and the fields of a response.
struct ResponseHead {
    int status = 0;
    HttpFields fields;
};

/// A response with its whole body.
struct ResponseMessage {
    int status = 0;
    HttpFields fields;
    std::string body;
};

/// Whether the connection stays open for another message.
enum class Persistence {
    KeepAlive,
    Close,
};

/// The request as bytes. Sets Content-Length when there is a body or the method usually has one.
std::string requestBytes(const RequestMessage &request);

/// The response as bytes, with Content-Length.
std::string responseBytes(const ResponseMessage &response, Persistence persistence);

/// The head of a response whose body follows in chunks.
std::string chunkedHeadBytes(const ResponseHead &head, Persistence persistence);

/// One chunk; must not be empty, because an empty chunk ends the body.
std::string chunkBytes(std::string_view data);

/// The bytes that end a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// The value of one query parameter, percent-decoded, or an empty text.
std::string queryValue(std::string_view target, std::string_view name);

/// The target without its query.
std::string_view targetPath(std::string_view target);

/// Percent-encodes everything but unreserved characters and the slash.
std::string percentEncoded(std::string_view text);

}
