#include "http/serversession.h"

#include "http/socketoptions.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

namespace Basilbend
{

namespace
{

/// Limit on the input that is buffered while a response is pending; above it, reading pauses until the response has ended.
constexpr std::size_t MaxPipelinedBytes = 64 * 1024;

/// Time for which input is read and discarded before a close. Closing a socket with unread input resets the connection, and
/// the reset may reach the client before the response does.
constexpr Milliseconds LingerDuration{400};

std::size_t headSize(const MessageHead &head)
{
    std::size_t n = head.target.size();
    for (const auto &field : head.fields) {
        n += field.name.size() + field.value.size() + 4;
    }
    return n;
}

}

ServerHooks defaultServerHooks(std::function<void(std::shared_ptr<ServerExchange>)> onRequest)
{
    ServerHooks hooks;
    hooks.onRequest = std::move(onRequest);
    hooks.errorResponse = [](int status) { return ResponseMessage{status, {}, {}}; };
    hooks.limits = [] { return ServerLimits(); };
    hooks.isDraining = [] { return false; };
    return hooks;
}

ServerSession::ServerSession(asio::ip::tcp::socket socket, const ServerHooks &hooks)
    : m_socket(std::move(socket))
    , m_hooks(hooks)
    , m_timer(m_socket.get_executor())
    , m_parser(MessageParser::Kind::Request,
               {[this](MessageHead &&head) { handleHead(std::move(head)); }, [this](std::string_view data) { handleBody(data); }, [this] { handleMessage(); }})
    , m_reader(m_socket,
               {[this](std::string_view bytes) { handleBytes(bytes); },
                [this](bool) { handleDisconnect(); },
                [this] { return !m_closed && m_input.size() < MaxPipelinedBytes; }})
{
}

ServerSession::~ServerSession() = default;

void ServerSession::start()
{
    applyConnectionOptions(m_socket);
    armIdleTimer(m_hooks.limits().idleTimeout, m_hooks.limits().idleTimeout);
    waitForInput();
}

bool ServerSession::isBusy() const
{
    return m_exchange != nullptr || m_parser.isInsideMessage() || !m_output.empty() || !m_writeBuffer.empty();
}

void ServerSession::closeIfIdle()
{
    if (!isBusy()) {
        closeNow();
    }
}

void ServerSession::waitForInput()
{
    m_reader.wait(shared_from_this());
}

void ServerSession::handleBytes(std::string_view bytes)
{
    if (m_lingering) {
        return;
    }
    m_input.append(bytes);
    if (!m_exchange) {
        feedInput();
    }
}

void ServerSession::feedInput()
{
    while (!m_closed && !m_closeAfterWrite && !m_exchange && !m_input.empty()) {
        const auto n = m_parser.feed(m_input);
        m_input.erase(0, n);
        if (m_closed || m_closeAfterWrite) {
            return;
        }
        if (m_parser.hasFailed()) {
            reject(m_parser.incompleteHeadBytes() > m_hooks.limits().maxHeadBytes ? 431 : 400);
            return;
        }
        if (m_parser.incompleteHeadBytes() > m_hooks.limits().maxHeadBytes) {
            reject(431);
            return;
        }
    }
    if (m_parser.isInsideMessage() && !m_exchange && !m_headTimerRunning) {
        m_headTimerRunning = true;
        armTimer(m_hooks.limits().headTimeout, &ServerSession::onHeadTimeout);
    }
}

void ServerSession::handleHead(MessageHead &&head)
{
    m_requestKeepsAlive = head.keepAlive;
    m_expectsContinue = isSameFieldName(head.fields.value("Expect"), "100-continue");
    if (headSize(head) > m_hooks.limits().maxHeadBytes) {
        reject(431);
        return;
    }
    if (head.fields.count("Host") > 1) {
        reject(400);
        return;
    }
    m_request = RequestMessage{std::move(head.method), std::move(head.target), std::move(head.fields), {}};
    if (m_expectsContinue) {
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    armTimer(m_hooks.limits().idleTimeout, &ServerSession::onHeadTimeout);
}

void ServerSession::handleBody(std::string_view data)
{
    if (m_closeAfterWrite) {
        return;
    }
    if (m_request.body.size() + data.size() > m_hooks.limits().maxBodyBytes) {
        reject(413);
        return;
    }
    m_request.body.append(data);
}

void ServerSession::handleMessage()
{
    if (m_closeAfterWrite) {
        return;
    }
    m_timer.cancel();
    m_headTimerRunning = false;
    m_exchange = std::make_shared<ServerExchange>(weak_from_this(), std::move(m_request));
    m_request = {};
    // Posted so that it runs after the parser has returned, because a handler may respond at once and start the next request.
    asio::post(m_socket.get_executor(), [self = shared_from_this(), exchange = m_exchange] {
        if (!self->m_closed) {
            self->m_hooks.onRequest(exchange);
        }
    });
}

void ServerSession::reject(int status)
{
    if (m_closeAfterWrite || m_closed) {
        return;
    }
    m_closeAfterWrite = true;
    m_timer.cancel();
    send(serializeResponse(m_hooks.errorResponse(status), Persistence::Close));
}

Persistence ServerSession::decidePersistence(const ServerExchange &exchange)
{
    const bool keep = m_requestKeepsAlive && !exchange.m_closeAfterResponse && !m_hooks.isDraining();
    m_closeAfterWrite = !keep;
    return keep ? Persistence::KeepAlive : Persistence::Close;
}

void ServerSession::send(std::string_view bytes)
{
    if (m_closed) {
        return;
    }
    m_output.append(bytes);
    if (m_writeBuffer.empty()) {
        writeNext();
    }
}

void ServerSession::writeNext()
{
    m_writeBuffer.swap(m_output);
    m_output.clear();
    asio::async_write(m_socket, asio::buffer(m_writeBuffer), [self = shared_from_this()](const asio::error_code &ec, std::size_t) {
        self->m_writeBuffer.clear();
        if (self->m_closed) {
            return;
        }
        if (ec) {
            self->handleDisconnect();
        } else if (!self->m_output.empty()) {
            self->writeNext();
        } else if (self->m_closeAfterWrite && !self->m_exchange) {
            self->beginLingering();
        }
    });
}

std::size_t ServerSession::pendingBytes() const
{
    return m_output.size() + m_writeBuffer.size();
}

void ServerSession::finishExchange()
{
    m_exchange = nullptr;
    if (m_closed || m_closeAfterWrite) {
        if (!m_closed && m_writeBuffer.empty() && m_output.empty()) {
            beginLingering();
        }
        return;
    }
    armIdleTimer(m_hooks.limits().idleTimeout, m_hooks.limits().idleTimeout);
    // The next request may be buffered already. It is parsed from the event loop, not from within the handler.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_closed) {
            self->feedInput();
            self->waitForInput();
        }
    });
}

void ServerSession::armTimer(Milliseconds span, void (ServerSession::*action)())
{
    m_timer.expires_after(span);
    m_timer.async_wait([self = shared_from_this(), action](const asio::error_code &ec) {
        if (!ec && !self->m_closed) {
            (self.get()->*action)();
        }
    });
}

void ServerSession::onHeadTimeout()
{
    if (!m_exchange) {
        reject(408);
    }
}

void ServerSession::onIdleTimeout()
{
    // The limit may have been raised since the timer was started.
    const auto left = m_hooks.limits().idleTimeout - m_idleLimit;
    if (left.count() > 0) {
        armIdleTimer(m_hooks.limits().idleTimeout, left);
        return;
    }
    closeIfIdle();
}

void ServerSession::armIdleTimer(Milliseconds limit, Milliseconds span)
{
    m_idleLimit = limit;
    armTimer(span, &ServerSession::onIdleTimeout);
}

void ServerSession::beginLingering()
{
    if (m_lingering) {
        return;
    }
    m_lingering = true;
    asio::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    armTimer(LingerDuration, &ServerSession::closeNow);
    waitForInput();
}

void ServerSession::handleDisconnect()
{
    const auto exchange = m_exchange;
    closeNow();
    if (exchange && !exchange->m_ended) {
        exchange->m_ended = true;
        if (exchange->onClientDisconnected) {
            exchange->onClientDisconnected();
        }
    }
}

void ServerSession::closeNow()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_exchange = nullptr;
    m_timer.cancel();
    asio::error_code ec;
    m_socket.close(ec);
    m_hooks.onClosed(this);
}

}
