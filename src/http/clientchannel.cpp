#include "http/clientchannel.h"

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

/// Parses the timeout parameter of a Keep-Alive field, which is in seconds. Returns zero when there is none.
Milliseconds keepAliveTimeOf(std::string_view text)
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

std::string_view callEndName(CallEnd end)
{
    switch (end) {
    case CallEnd::Complete:
        return "complete";
    case CallEnd::NotConnected:
        return "not_connected";
    case CallEnd::ClosedUnanswered:
        return "closed_unanswered";
    case CallEnd::Broken:
        return "broken";
    }
    return "unknown";
}

ClientChannel::ClientChannel(asio::io_context &io, asio::ip::tcp::endpoint server, IdleHook onIdle, ClosedHook onClosed)
    : m_socket(io)
    , m_server(std::move(server))
    , m_connectTimer(io)
    , m_parser(MessageParser::Kind::Response,
               {[this](MessageHead &&head) { acceptHead(std::move(head)); },
                [this](std::string_view data) { acceptBody(data); },
                [this] { m_messageComplete = true; }})
    , m_reader(m_socket, {[this](std::string_view bytes) { feed(bytes); }, [this](bool inOrder) { streamEnded(inOrder); }, [this] { return !m_closed; }})
    , m_onIdle(std::move(onIdle))
    , m_onClosed(std::move(onClosed))
{
}

ClientChannel::~ClientChannel() = default;

void ClientChannel::start(std::string bytes, CallHooks hooks, Milliseconds connectTimeout)
{
    m_hooks = std::make_shared<const CallHooks>(std::move(hooks));
    m_request = std::move(bytes);
    m_busy = true;
    m_requestWritten = false;
    m_responseStarted = false;
    m_skippedAny = false;
    m_bodyBytes = 0;
    if (m_connected) {
        writeRequest();
    } else {
        connect(connectTimeout);
    }
}

void ClientChannel::connect(Milliseconds timeout)
{
    m_connectTimer.expires_after(timeout);
    m_connectTimer.async_wait([self = shared_from_this()](const asio::error_code &ec) {
        if (!ec && !self->m_connected && !self->m_closed) {
            self->endCall(CallEnd::NotConnected);
        }
    });
    m_socket.async_connect(m_server, [self = shared_from_this()](const asio::error_code &ec) {
        if (self->m_closed) {
            return;
        }
        self->m_connectTimer.cancel();
        if (ec) {
            self->endCall(CallEnd::NotConnected);
            return;
        }
        self->m_connected = true;
        applyConnectionOptions(self->m_socket);
        self->m_reader.wait(self);
        self->writeRequest();
    });
}

void ClientChannel::writeRequest()
{
    asio::async_write(m_socket, asio::buffer(m_request), [self = shared_from_this()](const asio::error_code &ec, std::size_t) {
        if (self->m_closed || ec) {
            // After a failed write the read side ends too, and that determines the outcome of the call.
            return;
        }
        self->m_requestWritten = true;
        self->m_request.clear();
    });
}

void ClientChannel::feed(std::string_view bytes)
{
    while (!bytes.empty() && !m_closed) {
        if (!m_busy) {
            // These bytes answer no request, so nothing that follows on this connection can be trusted.
            shutDown();
            return;
        }
        const auto n = m_parser.feed(bytes);
        bytes.remove_prefix(n);
        if (m_closed) {
            return;
        }
        if (m_parser.hasFailed() || m_refused) {
            endCall(CallEnd::Broken);
            return;
        }
        if (m_messageComplete) {
            m_messageComplete = false;
            m_responseKeepsAlive = m_responseKeepsAlive && (bytes.empty() || m_skipping);
            completeMessage();
        }
    }
}

void ClientChannel::acceptHead(MessageHead &&head)
{
    ResponseHead response{head.status, std::move(head.fields)};
    m_responseKeepsAlive = head.keepAlive;
    m_keepAliveTime = keepAliveTimeOf(response.fields.value("Keep-Alive"));
    const auto hooks = m_hooks;
    const auto owner = hooks && hooks->owner ? hooks->owner(response) : ResponseOwner::Mine;
    if (owner == ResponseOwner::Unnamed && m_isReused) {
        m_refused = true;
        return;
    }
    m_skipping = owner == ResponseOwner::Other;
    if (m_skipping) {
        m_skippedAny = true;
        m_refused = ++m_skippedResponses > MaxSkippedResponses;
        return;
    }
    m_responseStarted = true;
    if (hooks && hooks->onHead) {
        hooks->onHead(response);
    }
}

void ClientChannel::acceptBody(std::string_view data)
{
    if (m_skipping) {
        m_skippedBytes += data.size();
        m_refused = m_refused || m_skippedBytes > MaxSkippedBytes;
        return;
    }
    const auto hooks = m_hooks;
    m_bodyBytes += data.size();
    if (hooks && hooks->maxBodyBytes > 0 && m_bodyBytes > hooks->maxBodyBytes) {
        m_refused = true;
    }
    if (!m_refused && hooks && hooks->onBody) {
        hooks->onBody(data);
    }
}

void ClientChannel::completeMessage()
{
    if (m_skipping) {
        m_skipping = false;
        if (!m_responseKeepsAlive) {
            endCall(CallEnd::ClosedUnanswered);
        }
        return;
    }
    // After a response to another request the order of responses is uncertain. After a partly written request the server
    // would read the next request as the rest of this one.
    const bool reusable = m_responseKeepsAlive && m_requestWritten && !m_skippedAny;
    if (!reusable) {
        endCall(CallEnd::Complete);
        return;
    }
    m_busy = false;
    m_isReused = true;
    const auto hooks = std::move(m_hooks);
    m_hooks.reset();
    m_onIdle(shared_from_this());
    hooks->onEnd(CallEnd::Complete);
}

void ClientChannel::streamEnded(bool inOrder)
{
    if (!m_busy) {
        shutDown();
        return;
    }
    const bool whole = inOrder && m_responseStarted && !m_skipping && m_parser.finish() && m_messageComplete;
    m_messageComplete = false;
    if (whole) {
        endCall(CallEnd::Complete);
    } else {
        endCall(m_responseStarted ? CallEnd::Broken : CallEnd::ClosedUnanswered);
    }
}

void ClientChannel::endCall(CallEnd end)
{
    m_busy = false;
    const auto hooks = std::move(m_hooks);
    m_hooks.reset();
    const auto self = shared_from_this();
    shutDown();
    if (hooks) {
        hooks->onEnd(end);
    }
}

void ClientChannel::close()
{
    m_hooks.reset();
    m_busy = false;
    shutDown();
}

void ClientChannel::shutDown()
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
