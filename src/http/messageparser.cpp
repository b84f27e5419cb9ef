#include "http/messageparser.h"

#include "http/headcheck.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Limit on interim (1xx) responses before a final one; a faulty server may send them endlessly.
constexpr int MaxInterimResponses = 16;
constexpr int CallbackFailure = -1;
/// Of a status line no more is kept than the check of its status needs.
constexpr std::size_t MaxStatusLineBytes = 64;
constexpr int SupportedMajorVersion = 1;
constexpr int NoContent = 204;

/// Space after a field's value does not belong to it (RFC 9110, section 5.5). http_parser removes only that before it.
std::string_view withoutTrailingSpace(std::string_view value)
{
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) {
        value.remove_suffix(1);
    }
    return value;
}

}

MessageParser::MessageParser(Kind kind, MessageHooks hooks)
    : m_hooks(std::move(hooks))
    , m_kind(kind)
{
    http_parser_init(&m_parser, kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
}

MessageParser &MessageParser::self(http_parser *parser)
{
    return *static_cast<MessageParser *>(parser->data);
}

const http_parser_settings &MessageParser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings s{};
        s.on_message_begin = [](http_parser *parser) {
            self(parser).m_insideMessage = true;
            self(parser).m_readingHead = true;
            self(parser).m_readingStatusLine = self(parser).m_kind == Kind::Response;
            self(parser).m_head = {};
            return 0;
        };
        s.on_url = [](http_parser *parser, const char *at, std::size_t n) {
            self(parser).m_head.target.append(at, n);
            return 0;
        };
        s.on_header_field = [](http_parser *parser, const char *at, std::size_t n) {
            self(parser).addFieldName({at, n});
            return 0;
        };
        s.on_header_value = [](http_parser *parser, const char *at, std::size_t n) {
            self(parser).addFieldValue({at, n});
            return 0;
        };
        s.on_headers_complete = [](http_parser *parser) { return self(parser).completeHead(); };
        s.on_body = [](http_parser *parser, const char *at, std::size_t n) {
            self(parser).m_hooks.onBody({at, n});
            return 0;
        };
        s.on_chunk_header = [](http_parser *parser) {
            self(parser).m_chunkBytesLeft = parser->content_length;
            self(parser).m_part = parser->content_length > 0 ? Part::ChunkData : Part::Lines;
            return 0;
        };
        s.on_message_complete = [](http_parser *parser) { return self(parser).completeMessage(); };
        return s;
    }();
    return settings;
}

void MessageParser::addFieldName(std::string_view text)
{
    if (m_fieldSizes.empty() || m_readingValue) {
        m_fieldSizes.emplace_back();
        m_readingValue = false;
    }
    m_headText.append(text);
    m_fieldSizes.back().name += static_cast<std::uint32_t>(text.size());
}

void MessageParser::addFieldValue(std::string_view text)
{
    m_readingValue = true;
    m_headText.append(text);
    m_fieldSizes.back().value += static_cast<std::uint32_t>(text.size());
}

void MessageParser::clearFields()
{
    // Assigning empty values would keep the buffers.
    std::string().swap(m_headText);
    std::vector<FieldSize>().swap(m_fieldSizes);
    m_readingValue = false;
}

HttpFields MessageParser::takeFields()
{
    HttpFields fields;
    fields.reserve(m_fieldSizes.size());
    std::size_t position = 0;
    for (const auto &size : m_fieldSizes) {
        const auto value = std::string_view(m_headText).substr(position + size.name, size.value);
        fields.add(m_headText.substr(position, size.name), std::string(withoutTrailingSpace(value)));
        position += size.name + size.value;
    }
    clearFields();
    return fields;
}

void MessageParser::checkStatusLine(std::string_view text)
{
    m_statusLine.append(text.substr(0, MaxStatusLineBytes - m_statusLine.size()));
    if (text.back() == '\n') {
        m_failed = !hasThreeDigitStatus(m_statusLine);
        m_readingStatusLine = false;
        m_statusLine.clear();
    }
}

bool MessageParser::isAcceptableHead() const
{
    const bool isAcceptableStart = m_parser.http_major == SupportedMajorVersion && (m_kind == Kind::Request || isAcceptableStatus(m_head.status));
    return isAcceptableStart && areValidFields(m_head.fields) && isReadableFraming(m_head.fields) && m_interimResponses <= MaxInterimResponses;
}

int MessageParser::completeHead()
{
    m_head.fields = takeFields();
    m_readingHead = false;
    m_incompleteHeadBytes = 0;
    const bool isChunked = (m_parser.flags & F_CHUNKED) != 0;
    m_part = isChunked ? Part::Lines : Part::Body;
    const bool announcesBody = isChunked || ((m_parser.flags & F_CONTENTLENGTH) != 0 && m_parser.content_length > 0);
    if (m_kind == Kind::Request) {
        m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
    } else {
        m_head.status = static_cast<int>(m_parser.status_code);
        m_isInterim = m_head.status < 200;
        m_interimResponses = m_isInterim ? m_interimResponses + 1 : 0;
    }
    if (!isAcceptableHead()) {
        return CallbackFailure;
    }
    if (!m_isBodyExpected || (m_kind == Kind::Response && isBodilessStatus(m_head.status))) {
        m_parser.flags |= F_SKIPBODY;
    }
    // A server that announces a body with status 204 may send one, which would be read as the start of the next response.
    m_head.keepAlive = http_should_keep_alive(&m_parser) != 0 && !(m_head.status == NoContent && announcesBody);
    if (!m_isInterim) {
        m_hooks.onHead(std::move(m_head));
    }
    m_head = {};
    return 0;
}

int MessageParser::completeMessage()
{
    m_part = Part::Lines;
    // Trailer fields are ignored, but an invalid one shows that the message is not what the server meant to send.
    if (!areValidFields(takeFields())) {
        return CallbackFailure;
    }
    m_insideMessage = false;
    if (m_isInterim) {
        m_isInterim = false;
        return 0;
    }
    http_parser_pause(&m_parser, 1);
    m_hooks.onComplete();
    return 0;
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    if (m_failed) {
        return 0;
    }
    http_parser_pause(&m_parser, 0);
    std::size_t used = 0;
    while (used < bytes.size()) {
        const auto piece = nextPiece(bytes.substr(used));
        if (m_part == Part::Lines && !checkLineEnds(piece)) {
            m_failed = true;
            break;
        }
        const auto n = execute(piece);
        used += n;
        if (m_failed || n < piece.size() || HTTP_PARSER_ERRNO(&m_parser) == HPE_PAUSED) {
            break;
        }
    }
    return used;
}

std::string_view MessageParser::nextPiece(std::string_view bytes) const
{
    switch (m_part) {
    case Part::Lines:
        return bytes.substr(0, std::min(bytes.find('\n'), bytes.size() - 1) + 1);
    case Part::ChunkData:
        return bytes.substr(0, std::min<std::uint64_t>(m_chunkBytesLeft, bytes.size()));
    case Part::Body:
        break;
    }
    return bytes;
}

bool MessageParser::checkLineEnds(std::string_view line)
{
    // http_parser takes any byte for a line feed in these places, and any two bytes for the end of a chunk.
    const bool isMissing = (m_expectsChunkEnd && line.front() != '\r') || (m_expectsLineFeed && line.front() != '\n');
    const auto end = line.find('\r');
    m_expectsChunkEnd = false;
    m_expectsLineFeed = end == line.size() - 1;
    return !isMissing && (end == std::string_view::npos || m_expectsLineFeed || line.substr(end) == "\r\n");
}

std::size_t MessageParser::execute(std::string_view piece)
{
    if (m_part == Part::ChunkData) {
        m_chunkBytesLeft -= piece.size();
        m_expectsChunkEnd = m_chunkBytesLeft == 0;
        m_part = m_expectsChunkEnd ? Part::Lines : Part::ChunkData;
    }
    const auto n = http_parser_execute(&m_parser, &callbacks(), piece.data(), piece.size());
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error == HPE_PAUSED) {
        return n;
    }
    if (error != HPE_OK) {
        m_failed = true;
        return n;
    }
    if (m_insideMessage && m_readingHead) {
        m_incompleteHeadBytes += n;
    }
    if (m_readingStatusLine) {
        checkStatusLine(piece);
    }
    return n;
}

bool MessageParser::finish()
{
    if (m_failed) {
        return false;
    }
    http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    return (error == HPE_OK || error == HPE_PAUSED) && !m_insideMessage;
}

void MessageParser::discard()
{
    m_failed = true;
    m_insideMessage = false;
    m_incompleteHeadBytes = 0;
    m_head = {};
    clearFields();
}

bool MessageParser::hasFailed() const
{
    return m_failed;
}

}
