#include "http/httpmessage.h"

#include "http/headcheck.h"
#include "http/httpsyntax.h"

#include <algorithm>
#include <cstdio>
#include <http_parser.h>

namespace Basilbend
{

namespace
{

void appendFields(std::string &to, const HttpFields &fields)
{
    for (const auto &field : fields) {
        if (isValidField(field)) {
            to.append(field.name).append(": ").append(field.value).append("\r\n");
        }
    }
}

void appendStatusLine(std::string &to, int status)
{
    to.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(http_status_str(static_cast<http_status>(status))).append("\r\n");
}

void appendPersistence(std::string &to, Persistence persistence)
{
    if (persistence == Persistence::Close) {
        to.append("Connection: close\r\n");
    }
}

int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

/// Decodes the value of a query parameter, in which a plus sign stands for a space.
std::string queryDecoded(std::string_view text)
{
    std::string plain(text);
    std::replace(plain.begin(), plain.end(), '+', ' ');
    return percentDecoded(plain);
}

}

bool isSerializable(const RequestMessage &request)
{
    return isHttpToken(request.method) && isRequestTarget(request.target) && areValidFields(request.fields);
}

std::string serializeRequest(const RequestMessage &request)
{
    std::string bytes;
    bytes.reserve(256 + request.body.size());
    bytes.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    appendFields(bytes, request.fields);
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        bytes.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    bytes.append("\r\n").append(request.body);
    return bytes;
}

std::string serializeResponse(const ResponseMessage &response, Persistence persistence)
{
    std::string bytes;
    bytes.reserve(256 + response.body.size());
    appendStatusLine(bytes, response.status);
    appendFields(bytes, response.fields);
    appendPersistence(bytes, persistence);
    bytes.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n\r\n").append(response.body);
    return bytes;
}

std::string serializeBodiless(const ResponseHead &head, Persistence persistence)
{
    std::string bytes;
    appendStatusLine(bytes, head.status);
    appendFields(bytes, head.fields);
    appendPersistence(bytes, persistence);
    bytes.append("\r\n");
    return bytes;
}

std::string serializeChunkedHead(const ResponseHead &head, Persistence persistence)
{
    std::string bytes;
    appendStatusLine(bytes, head.status);
    appendFields(bytes, head.fields);
    appendPersistence(bytes, persistence);
    bytes.append("Transfer-Encoding: chunked\r\n\r\n");
    return bytes;
}

std::string serializeChunk(std::string_view data)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    std::string bytes(size);
    bytes.append(data).append("\r\n");
    return bytes;
}

std::string queryValue(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    if (mark == std::string_view::npos) {
        return {};
    }
    auto query = target.substr(mark + 1);
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) {
            return queryDecoded(pair.substr(std::min(equals + 1, pair.size())));
        }
    }
    return {};
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
        if (isEscape) {
            decoded.push_back(static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2])));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, std::min(target.find('?'), target.size()));
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view Unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    std::string encoded;
    for (const char c : text) {
        if (Unreserved.find(c) != std::string_view::npos) {
            encoded.push_back(c);
        } else {
            char escape[4];
            std::snprintf(escape, sizeof escape, "%%%02X", static_cast<unsigned char>(c));
            encoded.append(escape);
        }
    }
    return encoded;
}

}
