#include "http/clientconnection.h"

#include "http/socketoptions.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <charconv>

namespace Basilbend
{

namespace
{

/// Limits on the responses to other calls that are skipped on one connection, in number and in bytes. A faulty server may
/// send them endlessly.
constexpr int MaxSkippedResponses = 4;
constexpr std::size_t MaxSkippedBytes = 1024 * 1024;

constexpr std::string_view HeadRequestStart = "HEAD ";

/// Parses the timeout parameter of a Keep-Alive field, which is in seconds. Returns zero when there is none.
Milliseconds parseKeepAliveTimeout(std::string_view text)
{
    constexpr std::string_view Name = "timeout=";
    const auto start = text.find(Name);
    if (start == std::string_view::npos) {
        return Milliseconds(0);
    }
    int seconds = 0;
    const auto digits = text.substr(start + Name.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return Milliseconds(1000 * std::max(seconds, 0));
}

}

bool hasUsableHead(CallOutcome outcome)
{
    return outcome == CallOutcome::Complete || outcome == CallOutcome::Unframed || outcome == CallOutcome::Interrupted;
}

std::string_view callOutcomeName(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Complete:
        return "complete";
    case CallOutcome::Unframed:
        return "unframed";
    case CallOutcome::Interrupted:
        return "interrupted";
    case CallOutcome::NotConnected:
        return "not_connected";
    case CallOutcome::ClosedUnanswered:
        return "closed_unanswered";
    case CallOutcome::Broken:
        return "broken";
    }
    return "unknown";
}

ClientConnection::ClientConnection(asio::io_context &io, asio::ip::tcp::endpoint server, std::uint64_t number, IdleHook onIdle, ClosedHook onClosed)
    : m_socket(io)
    , m_server(std::move(server))
    , m_number(number)
    , m_connectTimer(io)
    , m_parser(MessageParser::Kind::Response,
               {[this](MessageHead &&head) { handleHead(std::move(head)); },
                [this](std::string_view data) { handleBody(data); },
                [this] { m_messageComplete = true; }})
    , m_reader(m_socket,
               {[this](std::string_view bytes) { handleBytes(bytes); }, [this](bool isOrderly) { handleStreamEnd(isOrderly); }, [this] { return !m_closed; }})
    , m_onIdle(std::move(onIdle))
    , m_onClosed(std::move(onClosed))
{
}

ClientConnection::~ClientConnection() = default;

void ClientConnection::start(std::string request, CallHooks hooks, Milliseconds connectTimeout)
{
    m_hooks = std::make_shared<const CallHooks>(std::move(hooks));
    m_request = std::move(request);
    m_parser.expectBody(m_request.compare(0, HeadRequestStart.size(), HeadRequestStart) != 0);
    m_hasCall = true;
    m_requestWritten = false;
    m_responseStarted = false;
    m_hasSkippedResponse = false;
    m_bodyBytes = 0;
    if (m_connected) {
        writeRequest();
    } else {
        connect(connectTimeout);
    }
}

void ClientConnection::connect(Milliseconds timeout)
{
    m_connectTimer.expires_after(timeout);
    m_connectTimer.async_wait([self = shared_from_this()](const asio::error_code &ec) {
        if (!ec && !self->m_connected && !self->m_closed) {
            self->endCall(CallOutcome::NotConnected);
        }
    });
    m_socket.async_connect(m_server, [self = shared_from_this()](const asio::error_code &ec) {
        if (self->m_closed) {
            return;
        }
        self->m_connectTimer.cancel();
        if (ec) {
            self->endCall(CallOutcome::NotConnected);
            return;
        }
        self->m_connected = true;
        applyConnectionOptions(self->m_socket);
        self->m_reader.wait(self);
        self->writeRequest();
    });
}

void ClientConnection::writeRequest()
{
    asio::async_write(m_socket, asio::buffer(m_request), [self = shared_from_this()](const asio::error_code &ec, std::size_t) {
        if (self->m_closed || ec) {
            // After a failed write the read side ends too, and that determines the outcome of the call. The system reports the error of a
            // connection once, so the read side then ends as if the server had closed the connection in order.
            return;
        }
        self->m_requestWritten = true;
        self->m_request.clear();
    });
}

void ClientConnection::handleBytes(std::string_view bytes)
{
    while (!bytes.empty() && !m_closed) {
        if (!m_hasCall) {
            // These bytes answer no request, so nothing that follows on this connection can be trusted.
            closeSocket();
            return;
        }
        const auto n = m_parser.feed(bytes);
        bytes.remove_prefix(n);
        if (m_closed) {
            return;
        }
        if (m_parser.hasFailed() || m_responseRejected) {
            endCall(CallOutcome::Broken);
            return;
        }
        if (m_messageComplete) {
            m_messageComplete = false;
            m_responseKeepsAlive = m_responseKeepsAlive && (bytes.empty() || m_skippingResponse);
            handleMessageEnd();
        }
    }
}

void ClientConnection::handleHead(MessageHead &&head)
{
    ResponseHead response{head.status, std::move(head.fields)};
    m_responseKeepsAlive = head.keepAlive;
    m_keepAliveTimeout = parseKeepAliveTimeout(response.fields.value("Keep-Alive"));
    const auto hooks = m_hooks;
    const auto match = hooks && hooks->matchResponse ? hooks->matchResponse(response) : ResponseMatch::ThisCall;
    if (match == ResponseMatch::Unidentified && m_reused) {
        m_responseRejected = true;
        return;
    }
    m_skippingResponse = match == ResponseMatch::OtherCall;
    if (m_skippingResponse) {
        m_hasSkippedResponse = true;
        m_responseRejected = ++m_skippedResponses > MaxSkippedResponses;
        return;
    }
    m_responseStarted = true;
    if (hooks && hooks->onHead) {
        hooks->onHead(response);
    }
}

void ClientConnection::handleBody(std::string_view data)
{
    if (m_skippingResponse) {
        m_skippedBytes += data.size();
        m_responseRejected = m_responseRejected || m_skippedBytes > MaxSkippedBytes;
        return;
    }
    const auto hooks = m_hooks;
    m_bodyBytes += data.size();
    if (hooks && hooks->maxBodyBytes > 0 && m_bodyBytes > hooks->maxBodyBytes) {
        m_responseRejected = true;
    }
    if (!m_responseRejected && hooks && hooks->onBody) {
        hooks->onBody(data);
    }
}

void ClientConnection::handleMessageEnd()
{
    if (m_skippingResponse) {
        m_skippingResponse = false;
        if (!m_responseKeepsAlive) {
            endCall(CallOutcome::ClosedUnanswered);
        }
        return;
    }
    // After a response to another request was skipped, the next response may belong to another request too. After a partly
    // written request the server would read the next request as the rest of this one.
    const bool reusable = m_responseKeepsAlive && m_requestWritten && !m_hasSkippedResponse;
    if (!reusable) {
        endCall(CallOutcome::Complete);
        return;
    }
    m_hasCall = false;
    m_reused = true;
    const auto hooks = std::move(m_hooks);
    m_hooks.reset();
    m_onIdle(shared_from_this());
    hooks->onEnd(CallOutcome::Complete);
}

void ClientConnection::handleStreamEnd(bool isOrderly)
{
    if (!m_hasCall) {
        closeSocket();
        return;
    }
    const bool endsWithConnection = m_responseStarted && !m_skippingResponse && m_parser.finish() && m_messageComplete;
    m_messageComplete = false;
    if (endsWithConnection) {
        // Without the whole request the end is no proof of a whole response: the write side may have taken the error of a reset, and the
        // end of a response is received before the reset if the server had nothing unread when it closed the connection.
        endCall(isOrderly && m_requestWritten ? CallOutcome::Unframed : CallOutcome::Interrupted);
    } else {
        endCall(m_responseStarted ? CallOutcome::Broken : CallOutcome::ClosedUnanswered);
    }
}

void ClientConnection::endCall(CallOutcome outcome)
{
    m_hasCall = false;
    const auto hooks = std::move(m_hooks);
    m_hooks.reset();
    const auto self = shared_from_this();
    closeSocket();
    if (hooks) {
        hooks->onEnd(outcome);
    }
}

void ClientConnection::close()
{
    m_hooks.reset();
    m_hasCall = false;
    closeSocket();
}

void ClientConnection::closeSocket()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_connectTimer.cancel();
    asio::error_code ec;
    m_socket.close(ec);
    m_onClosed(this);
}

}
