#pragma once

#include "http/httpfields.h"

#include <cstdint>
#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// The start line and the header fields of a message.
struct MessageHead {
    /// Method and target are set for requests only.
    std::string method;
    std::string target;
    /// The status is set for responses only.
    int status = 0;
    HttpFields fields;
    /// Whether the connection stays open after this message.
    bool keepAlive = false;
};

/// Callbacks that the parser calls from feed() and finish(). They must not destroy the parser.
struct MessageHooks {
    std::function<void(MessageHead &&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onComplete;
};

/// Parses a byte stream into HTTP/1.1 messages. Wraps http_parser, which rejects messages that allow request smuggling
/// (both Content-Length and Transfer-Encoding, conflicting lengths, invalid chunk sizes), and rejects what that library accepts beside the
/// protocol: invalid names of fields, statuses and versions, bodies whose length or coding can't be followed, and invalid ends of lines
/// and chunks.
class MessageParser
{
public:
    enum class Kind {
        Request,
        Response,
    };

    MessageParser(Kind kind, MessageHooks hooks);
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Parses bytes up to the end of the current message and returns how many were used. Fewer than given means that a message
    /// is complete and the rest belongs to the next one. After a failure it uses no more bytes.
    std::size_t feed(std::string_view bytes);

    /// Signals that the peer has ended the stream with an orderly close. Completes a response without a length. Returns false
    /// when a message is truncated or an earlier call of feed() has failed.
    bool finish();

    bool hasFailed() const;

    /// Whether the next responses have a body. The response to a HEAD request has none, whatever its fields say.
    void expectBody(bool isExpected)
    {
        m_isBodyExpected = isExpected;
    }

    /// Whether a message has begun and is not complete.
    bool isInsideMessage() const
    {
        return m_insideMessage;
    }

    /// Frees what is held of the current message. The parser uses no more bytes; must not be called from a hook.
    void discard();

    /// Memory that the head that is being read holds, in bytes.
    std::size_t heldBytes() const
    {
        return m_head.target.capacity() + m_headText.capacity() + m_fieldSizes.capacity() * sizeof(FieldSize);
    }

    /// Size in bytes of the head that is being read; zero once the head is complete.
    std::size_t incompleteHeadBytes() const
    {
        return m_incompleteHeadBytes;
    }

private:
    /// What the next bytes are a part of.
    enum class Part {
        /// The head, the size or the end of a chunk, or the trailers.
        Lines,
        ChunkData,
        /// A body that is not chunked.
        Body,
    };

    /// Sizes of the name and the value of a field in m_headText.
    struct FieldSize {
        std::uint32_t name = 0;
        std::uint32_t value = 0;
    };

    static MessageParser &self(http_parser *parser);
    void addFieldName(std::string_view text);
    void addFieldValue(std::string_view text);
    void clearFields();
    HttpFields takeFields();
    /// Keeps the beginning of a response's first line and checks it once it is complete.
    void checkStatusLine(std::string_view text);
    bool isAcceptableHead() const;
    /// Returns the beginning of the bytes that the library is fed at once: no more than one line or the data of one chunk.
    std::string_view nextPiece(std::string_view bytes) const;
    /// Whether each carriage return of the text is followed by a line feed, and the data of a chunk by a line end.
    bool checkLineEnds(std::string_view line);
    /// Feeds one piece to the library. Returns how many bytes were used.
    std::size_t execute(std::string_view piece);
    int completeHead();
    int completeMessage();
    static const http_parser_settings &callbacks();

    http_parser m_parser{};
    MessageHooks m_hooks;
    Kind m_kind;
    MessageHead m_head;
    /// Names and values of the fields one after the other. Heads are kept like this until they are complete, because a client may send
    /// thousands of fields of a few bytes and never end the head.
    std::string m_headText;
    std::vector<FieldSize> m_fieldSizes;
    /// The beginning of a response's first line, while that is being read.
    std::string m_statusLine;
    bool m_insideMessage = false;
    bool m_readingHead = false;
    bool m_readingStatusLine = false;
    Part m_part = Part::Lines;
    /// Bytes that are left of the current chunk's data.
    std::uint64_t m_chunkBytesLeft = 0;
    /// The data of a chunk has ended, and its line end comes next.
    bool m_expectsChunkEnd = false;
    /// The last byte of a line that has not ended was a carriage return.
    bool m_expectsLineFeed = false;
    bool m_readingValue = false;
    bool m_isInterim = false;
    bool m_isBodyExpected = true;
    int m_interimResponses = 0;
    bool m_failed = false;
    std::size_t m_incompleteHeadBytes = 0;
};

}
