#pragma once

#include "http/httpfields.h"

#include <cstdint>
#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>

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
/// (both Content-Length and Transfer-Encoding, conflicting lengths, invalid chunk sizes).
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

    /// Whether a message has begun and is not complete.
    bool isInsideMessage() const
    {
        return m_insideMessage;
    }

    /// Size in bytes of the head that is being read; zero once the head is complete.
    std::size_t incompleteHeadBytes() const
    {
        return m_incompleteHeadBytes;
    }

private:
    static MessageParser &self(http_parser *parser);
    void addFieldName(std::string_view text);
    void addFieldValue(std::string_view text);
    int completeHead();
    int completeMessage();
    static const http_parser_settings &callbacks();

    http_parser m_parser{};
    MessageHooks m_hooks;
    Kind m_kind;
    MessageHead m_head;
    std::string m_fieldName;
    std::string m_fieldValue;
    bool m_insideMessage = false;
    bool m_readingHead = false;
    bool m_readingValue = false;
    bool m_isInterim = false;
    int m_interimResponses = 0;
    bool m_failed = false;
    std::size_t m_incompleteHeadBytes = 0;
};

}
