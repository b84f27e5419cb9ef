#pragma once

#include "base/timestamp.h"
#include "http/connectionbudget.h"
#include "http/messageparser.h"
#include "http/serverexchange.h"
#include "http/socketreader.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <exception>
#include <functional>
#include <memory>
#include <string>

namespace Basilbend
{

/// Limits on the size and the duration of requests, and on the idle time of connections.
struct ServerLimits {
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 32 * 1024 * 1024;
    Milliseconds headTimeout{3000};
    Milliseconds idleTimeout{15000};
};

inline bool operator==(const ServerLimits &a, const ServerLimits &b)
{
    return a.maxHeadBytes == b.maxHeadBytes && a.maxBodyBytes == b.maxBodyBytes && a.headTimeout == b.headTimeout && a.idleTimeout == b.idleTimeout;
}

/// Callbacks that the sessions of a server share.
struct ServerHooks {
    std::function<void(std::shared_ptr<ServerExchange>)> onRequest;
    /// Creates the response to a request that is rejected before it reaches onRequest (status 400, 408, 413, 431 or 503), or
    /// whose handler has failed (500).
    std::function<ResponseMessage(int status)> errorResponse;
    std::function<ServerLimits()> limits;
    std::function<bool()> isDraining;
    std::function<void(ServerSession *)> onClosed;
    /// Called when onRequest has thrown, before the request is answered with status 500. May be null.
    std::function<void(const std::exception &)> onHandlerFailed = nullptr;
    /// Limits what the connections of all servers of the process use together. Null: they are not limited.
    std::shared_ptr<ConnectionBudget> budget = nullptr;
    /// Called when a connection can't be accepted, for example for lack of descriptors, once until the next one is accepted. May be null.
    std::function<void(const asio::error_code &)> onAcceptFailed = nullptr;
};

/// Returns hooks for a server that clients do not reach: default limits, no draining, and error responses without a body.
ServerHooks defaultServerHooks(std::function<void(std::shared_ptr<ServerExchange>)> onRequest);

/// A connection of a client. Requests are processed one at a time; while one is being processed, the connection is watched
/// for a close by the client.
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
    ServerSession(asio::ip::tcp::socket socket, const ServerHooks &hooks);
    ~ServerSession();

    void start();

    /// Closes the connection if it is idle. While the server drains, a busy one closes after its response.
    void closeIfIdle();
    bool isBusy() const;

private:
    friend class ServerExchange;

    void send(std::string_view bytes);
    void finishExchange();
    void closeNow();
    std::size_t pendingBytes() const;
    Persistence decidePersistence(const ServerExchange &exchange);

    void waitForInput();
    void handleBytes(std::string_view bytes);
    void feedInput();
    /// Whether the next request must wait until the client has taken the responses to earlier ones.
    bool isWaitingForReader() const;
    void resumeInput();
    void handleHead(MessageHead &&head);
    void handleBody(std::string_view data);
    void handleMessage();
    /// Passes a request to its handler. A handler that throws ends its request with status 500, unless memory is used up: that ends the
    /// process.
    void dispatch(const std::shared_ptr<ServerExchange> &exchange);
    void reject(int status);
    void armTimer(Milliseconds span, void (ServerSession::*action)());
    void armIdleTimer(Milliseconds limit, Milliseconds span);
    void onHeadTimeout();
    void onIdleTimeout();
    void writeNext();
    void handleWritten(std::size_t bytes);
    void watchReader();
    void handleDisconnect();
    void beginLingering();
    std::size_t heldBytes() const;
    /// Reports to the budget what this connection uses.
    void reportUse();
    /// Reports to the budget, which may close connections. Returns false if the limits are exceeded nevertheless.
    bool keepBudget();
    void evict(ConnectionEviction reason);

    asio::ip::tcp::socket m_socket;
    const ServerHooks &m_hooks;
    /// Shared because a connection may outlive its server. Null: it is not limited.
    std::shared_ptr<ConnectionBudget> m_budget;
    asio::steady_timer m_timer;
    /// The idle limit for which the idle timer was last started.
    Milliseconds m_idleLimit{0};
    MessageParser m_parser;
    SocketReader m_reader;
    RequestMessage m_request;
    std::shared_ptr<ServerExchange> m_exchange;
    /// Received bytes that follow the current request. Reading pauses at MaxPipelinedBytes.
    std::string m_input;
    /// Bytes of m_input that have been parsed.
    std::size_t m_inputOffset = 0;
    std::string m_output;
    std::string m_writeBuffer;
    /// Bytes of m_writeBuffer that have been written.
    std::size_t m_writeOffset = 0;
    asio::steady_timer m_readerTimer;
    bool m_isReaderWatched = false;
    Timestamp m_lastTakenAt;
    Timestamp m_lastProgressAt;
    /// Memory that the fields of the current request hold.
    std::size_t m_requestFieldBytes = 0;
    bool m_closed = false;
    bool m_closeAfterWrite = false;
    bool m_requestKeepsAlive = true;
    bool m_expectsContinue = false;
    bool m_headTimerRunning = false;
    bool m_lingering = false;
    bool m_isReadingPaused = false;
};

}
