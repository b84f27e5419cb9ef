#pragma once

#include "http/httpfields.h"

#include <cstdint>
#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace Basilbend
{

/// What the parser knows of a message when its head is complete.
struct MessageHead {
    /// Requests only.
    std::string method;
    std::string target;
    /// Responses only.
    int status = 0;
    HttpFields fields;
    /// Whether the sender keeps the connection open after this message.
    bool keepAlive = false;
};

/// Called while bytes are fed; none of them may destroy the parser.
struct MessageHooks {
    std::function<void(MessageHead &&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onComplete;
};

/// Splits a byte stream into HTTP/1.1 messages. Wraps http_parser, which rejects what would allow request smuggling
/// (both Content-Length and Transfer-Encoding, different lengths, bad chunk sizes).
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

    /// Feeds bytes up to the end of the current message and returns how many were used. Fewer than given: a message is
    /// complete, and the rest belongs to the next one. After a failure nothing more can be fed.
    std::size_t feed(std::string_view bytes);

    /// Tells that the peer has ended the stream in order. Completes a response without length; returns false when a message
    /// was cut.
    bool finish();

    bool hasFailed() const;

    /// Whether bytes of a message have been read and its end has not.
    bool isInsideMessage() const
    {
        return m_insideMessage;
    }

    /// Bytes of the current head read so far; zero once the head is complete.
    std::size_t openHeadBytes() const
    {
        return m_openHeadBytes;
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
    bool m_headOpen = false;
    bool m_readingValue = false;
    bool m_informational = false;
    int m_interimResponses = 0;
    bool m_failed = false;
    std::size_t m_openHeadBytes = 0;
};

}
