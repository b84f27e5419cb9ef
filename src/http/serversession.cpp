#include "http/serversession.h"

#include "base/systemclock.h"
#include "http/socketoptions.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <new>

namespace Basilbend
{

namespace
{

/// Limit on the input that is buffered while a response is pending; above it, reading pauses until the response has ended.
constexpr std::size_t MaxPipelinedBytes = 64 * 1024;

/// Responses that the client has not taken, above which its next request is not begun.
constexpr std::size_t MaxUnreadBytes = 64 * 1024;

/// Parsed input is removed from the buffer in pieces of this size, so that many small requests do not each move the whole buffer.
constexpr std::size_t InputCompactionBytes = 16 * 1024;

/// A client that takes nothing of a response for this long, or for the idle limit if that is longer, has left without a close.
constexpr Milliseconds MinReaderTimeout{15000};

/// Time for which input is read and discarded before a close. Closing a socket with unread input resets the connection, and
/// the reset may reach the client before the response does.
constexpr Milliseconds LingerDuration{400};

/// Appends to a text that may become large. A text that doubles its buffer each time would hold up to twice its size.
void appendCompactly(std::string &text, std::string_view data)
{
    constexpr std::size_t SmallBytes = 256 * 1024;
    constexpr std::size_t GrowthDivisor = 4;
    const auto needed = text.size() + data.size();
    if (needed > text.capacity() && needed > SmallBytes) {
        std::string grown;
        grown.reserve(needed + needed / GrowthDivisor);
        grown.append(text);
        text.swap(grown);
    }
    text.append(data);
}

/// Assigning an empty text would keep the buffer.
void freeText(std::string &text)
{
    std::string().swap(text);
}

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
    , m_budget(hooks.budget)
    , m_timer(m_socket.get_executor())
    , m_parser(MessageParser::Kind::Request,
               {[this](MessageHead &&head) { handleHead(std::move(head)); }, [this](std::string_view data) { handleBody(data); }, [this] { handleMessage(); }})
    , m_reader(m_socket,
               {[this](std::string_view bytes) { handleBytes(bytes); },
                [this](bool) { handleDisconnect(); },
                [this] { return !m_closed && !m_isReadingPaused && m_input.size() < MaxPipelinedBytes; }})
    , m_readerTimer(m_socket.get_executor())
    , m_lastTakenAt(systemNow())
    , m_lastProgressAt(m_lastTakenAt)
{
}

ServerSession::~ServerSession()
{
    if (!m_closed && m_budget != nullptr) {
        m_budget->remove(this);
    }
}

void ServerSession::start()
{
    applyConnectionOptions(m_socket);
    if (m_budget != nullptr) {
        m_budget->add(this, m_lastProgressAt, [weak = weak_from_this()](ConnectionEviction reason) {
            if (const auto self = weak.lock()) {
                self->evict(reason);
            }
        });
    }
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
    // Each wait ends with a read, so a full buffer would grow with every request that is taken from it.
    if (m_input.size() - m_inputOffset < MaxPipelinedBytes) {
        m_reader.wait(shared_from_this());
    }
}

void ServerSession::handleBytes(std::string_view bytes)
{
    // What follows a request that ends the connection is not used.
    if (m_lingering || m_closeAfterWrite) {
        return;
    }
    m_lastProgressAt = systemNow();
    m_input.append(bytes);
    if (!m_exchange) {
        feedInput();
    }
    if (!keepBudget()) {
        // The rest stays unread until the current request has ended.
        m_isReadingPaused = m_exchange != nullptr;
    }
}

bool ServerSession::isWaitingForReader() const
{
    return pendingBytes() >= MaxUnreadBytes;
}

void ServerSession::feedInput()
{
    while (!m_closed && !m_closeAfterWrite && !m_exchange && !isWaitingForReader() && m_inputOffset < m_input.size()) {
        m_inputOffset += m_parser.feed(std::string_view(m_input).substr(m_inputOffset));
        if (m_inputOffset == m_input.size() || m_inputOffset >= InputCompactionBytes) {
            m_input.erase(0, m_inputOffset);
            m_inputOffset = 0;
        }
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

void ServerSession::resumeInput()
{
    m_isReadingPaused = false;
    // The next request may be buffered already. It is parsed from the event loop, not from within a handler.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_closed) {
            self->feedInput();
            self->reportUse();
            self->waitForInput();
        }
    });
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
    m_requestFieldBytes = head.fields.heldBytes();
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
    appendCompactly(m_request.body, data);
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
    if (!keepBudget()) {
        m_exchange = nullptr;
        reject(503);
        return;
    }
    // Posted so that it runs after the parser has returned, because a handler may respond at once and start the next request.
    asio::post(m_socket.get_executor(), [self = shared_from_this(), exchange = m_exchange] {
        if (!self->m_closed) {
            self->dispatch(exchange);
        }
    });
}

void ServerSession::dispatch(const std::shared_ptr<ServerExchange> &exchange)
{
    try {
        m_hooks.onRequest(exchange);
    } catch (const std::bad_alloc &) {
        throw;
    } catch (const std::exception &error) {
        if (m_hooks.onHandlerFailed) {
            m_hooks.onHandlerFailed(error);
        }
        exchange->fail(m_hooks.errorResponse(500));
    }
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
    if (m_writeBuffer.empty()) {
        m_writeBuffer.swap(m_output);
        m_lastTakenAt = systemNow();
        watchReader();
    }
    const auto unwritten = asio::buffer(m_writeBuffer) + m_writeOffset;
    m_socket.async_write_some(unwritten, [self = shared_from_this()](const asio::error_code &ec, std::size_t n) {
        if (self->m_closed) {
            return;
        }
        if (ec) {
            self->handleDisconnect();
        } else {
            self->handleWritten(n);
        }
    });
}

void ServerSession::handleWritten(std::size_t bytes)
{
    const bool wasWaiting = isWaitingForReader();
    m_writeOffset += bytes;
    m_lastTakenAt = systemNow();
    m_lastProgressAt = m_lastTakenAt;
    if (m_writeOffset == m_writeBuffer.size()) {
        m_writeOffset = 0;
        // A buffer that has been large is not kept.
        if (m_writeBuffer.capacity() > MaxUnreadBytes) {
            freeText(m_writeBuffer);
        } else {
            m_writeBuffer.clear();
        }
    }
    if (pendingBytes() > 0) {
        writeNext();
    } else if (m_closeAfterWrite && !m_exchange) {
        beginLingering();
        return;
    }
    reportUse();
    if (wasWaiting && !isWaitingForReader() && !m_exchange) {
        resumeInput();
    }
}

void ServerSession::watchReader()
{
    if (m_isReaderWatched) {
        return;
    }
    m_isReaderWatched = true;
    const auto limit = std::max(MinReaderTimeout, m_hooks.limits().idleTimeout);
    m_readerTimer.expires_at(asio::steady_timer::clock_type::now() + limit);
    m_readerTimer.async_wait([self = weak_from_this(), limit](const asio::error_code &ec) {
        const auto session = self.lock();
        if (ec || !session || session->m_closed) {
            return;
        }
        session->m_isReaderWatched = false;
        if (session->pendingBytes() == 0) {
            return;
        }
        if (systemNow() - session->m_lastTakenAt < limit) {
            session->watchReader();
            return;
        }
        const auto budget = session->m_budget;
        session->handleDisconnect();
        if (budget != nullptr && budget->onEvicted) {
            budget->onEvicted(ConnectionEviction::Unread);
        }
    });
}

std::size_t ServerSession::pendingBytes() const
{
    return m_output.size() + m_writeBuffer.size() - m_writeOffset;
}

std::size_t ServerSession::heldBytes() const
{
    const auto body = m_exchange ? m_exchange->request().body.capacity() : m_request.body.capacity();
    return m_input.capacity() + m_output.capacity() + m_writeBuffer.capacity() + m_parser.heldBytes() + m_requestFieldBytes + body;
}

void ServerSession::reportUse()
{
    if (m_budget != nullptr && !m_closed) {
        m_budget->update(this, {heldBytes(), m_exchange != nullptr, pendingBytes() > 0, m_lastTakenAt, m_lastProgressAt});
    }
}

bool ServerSession::keepBudget()
{
    reportUse();
    if (m_budget == nullptr || m_closed) {
        return true;
    }
    const auto limits = m_hooks.limits();
    return m_budget->relieve(limits.maxHeadBytes + limits.maxBodyBytes, systemNow());
}

void ServerSession::evict(ConnectionEviction reason)
{
    // Nothing of a request that is not complete has run, so it is refused. Responses that nobody reads are dropped.
    const bool canRefuse = reason == ConnectionEviction::Memory && !m_closed && !m_exchange && !m_closeAfterWrite && pendingBytes() == 0;
    freeText(m_input);
    m_inputOffset = 0;
    freeText(m_request.body);
    m_request.fields = HttpFields();
    m_requestFieldBytes = 0;
    m_parser.discard();
    if (canRefuse) {
        reject(503);
    } else {
        closeNow();
    }
}

void ServerSession::finishExchange()
{
    m_exchange = nullptr;
    m_requestFieldBytes = 0;
    if (m_closed || m_closeAfterWrite) {
        if (!m_closed && m_writeBuffer.empty() && m_output.empty()) {
            beginLingering();
        }
        return;
    }
    armIdleTimer(m_hooks.limits().idleTimeout, m_hooks.limits().idleTimeout);
    reportUse();
    if (!isWaitingForReader()) {
        resumeInput();
    }
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
    if (!m_exchange && !m_parser.isInsideMessage() && isBusy()) {
        // The client still reads.
        armIdleTimer(m_hooks.limits().idleTimeout, m_hooks.limits().idleTimeout);
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
    m_readerTimer.cancel();
    if (m_budget != nullptr) {
        m_budget->remove(this);
    }
    asio::error_code ec;
    m_socket.close(ec);
    m_hooks.onClosed(this);
}

}
