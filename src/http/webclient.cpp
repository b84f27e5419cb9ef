#include "http/webclient.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>
#include <vector>

namespace Basilbend
{

namespace
{

/// An idle connection is not reused when less than this is left of the server's keep-alive timeout, because the server's
/// close may already be in transit.
constexpr Milliseconds KeepAliveMargin{300};

}

ClientCall::ClientCall(const std::shared_ptr<ClientConnection> &connection, std::shared_ptr<bool> open)
    : m_connection(connection)
    , m_open(std::move(open))
{
}

ClientCall::~ClientCall()
{
    cancel();
}

ClientCall &ClientCall::operator=(ClientCall &&other) noexcept
{
    if (this != &other) {
        cancel();
        m_connection = std::move(other.m_connection);
        m_open = std::move(other.m_open);
    }
    return *this;
}

void ClientCall::cancel()
{
    if (!m_open || !*m_open) {
        return;
    }
    *m_open = false;
    if (const auto connection = m_connection.lock()) {
        connection->close();
    }
}

WebClient::WebClient(asio::io_context &io, std::function<Timestamp()> clock)
    : m_io(io)
    , m_clock(std::move(clock))
{
}

WebClient::~WebClient()
{
    *m_alive = false;
}

ClientCall WebClient::send(const asio::ip::tcp::endpoint &server, const RequestMessage &request, CallHooks hooks, Milliseconds connectTimeout)
{
    ConnectionHistory history;
    return sendAgain(server, request, std::move(hooks), connectTimeout, history);
}

ClientCall WebClient::sendAgain(
    const asio::ip::tcp::endpoint &server, const RequestMessage &request, CallHooks hooks, Milliseconds connectTimeout, ConnectionHistory &history)
{
    if (!isSerializable(request)) {
        return refuseCall(std::move(hooks));
    }
    const auto idle = takeIdle(server, history);
    const auto connection = idle ? idle : openConnection(server);
    history.add(connection->number());
    return startCall(connection, request, std::move(hooks), connectTimeout);
}

ClientCall WebClient::refuseCall(CallHooks hooks)
{
    ++m_counts.refusedCalls;
    auto open = std::make_shared<bool>(true);
    asio::post(m_io, [open, onEnd = std::move(hooks.onEnd)] {
        if (std::exchange(*open, false)) {
            onEnd(CallOutcome::NotConnected);
        }
    });
    return ClientCall(nullptr, open);
}

ClientCall
WebClient::startCall(const std::shared_ptr<ClientConnection> &connection, const RequestMessage &request, CallHooks hooks, Milliseconds connectTimeout)
{
    ++m_counts.calls;
    auto open = std::make_shared<bool>(true);
    hooks.onEnd = [open, onEnd = std::move(hooks.onEnd)](CallOutcome outcome) {
        *open = false;
        onEnd(outcome);
    };
    connection->start(serializeRequest(request), std::move(hooks), connectTimeout);
    return ClientCall(connection, open);
}

std::shared_ptr<ClientConnection> WebClient::openConnection(const asio::ip::tcp::endpoint &server)
{
    ++m_counts.connects;
    return std::make_shared<ClientConnection>(
        m_io,
        server,
        ++m_lastConnection,
        [this, alive = m_alive](const std::shared_ptr<ClientConnection> &idle) {
            if (*alive) {
                putIdle(idle);
            }
        },
        [this, alive = m_alive](ClientConnection *closed) {
            if (*alive) {
                removeFromIdle(closed);
            }
        });
}

void WebClient::probe(const asio::ip::tcp::endpoint &server, Milliseconds timeout, std::function<void(ProbeResult)> callback)
{
    ++m_counts.connects;
    std::make_shared<ConnectionProbe>(m_io)->start(server, timeout, [alive = m_alive, callback = std::move(callback)](ProbeResult result) {
        if (*alive) {
            callback(result);
        }
    });
}

std::shared_ptr<ClientConnection> WebClient::takeIdle(const asio::ip::tcp::endpoint &server, const ConnectionHistory &history)
{
    closeExpired(server);
    const auto it = m_idleConnections.find(server);
    if (it == m_idleConnections.end()) {
        return nullptr;
    }
    // Reuses the connection that has been idle longest, so that the server closes none of them between two bursts.
    auto &idle = it->second;
    const auto entry =
        std::find_if(idle.begin(), idle.end(), [&history](const IdleConnection &candidate) { return !history.contains(candidate.connection->number()); });
    if (entry == idle.end()) {
        return nullptr;
    }
    auto connection = entry->connection;
    idle.erase(entry);
    return connection;
}

void WebClient::closeExpired(const asio::ip::tcp::endpoint &server)
{
    const auto it = m_idleConnections.find(server);
    if (it == m_idleConnections.end()) {
        return;
    }
    auto &idle = it->second;
    const auto isUsable = [now = m_clock()](const IdleConnection &entry) {
        const auto timeout = entry.connection->keepAliveTimeout();
        const bool isExpired = timeout.count() > 0 && now - entry.since + KeepAliveMargin >= timeout;
        return entry.connection->isConnected() && !isExpired;
    };
    std::vector<IdleConnection> expired;
    while (!idle.empty() && !isUsable(idle.front())) {
        expired.push_back(std::move(idle.front()));
        idle.pop_front();
    }
    // Closed after the loop, because closing a connection modifies the pool.
    for (const auto &entry : expired) {
        entry.connection->close();
    }
}

void WebClient::putIdle(const std::shared_ptr<ClientConnection> &connection)
{
    m_idleConnections[connection->server()].push_back({connection, m_clock()});
}

void WebClient::removeFromIdle(ClientConnection *connection)
{
    const auto it = m_idleConnections.find(connection->server());
    if (it == m_idleConnections.end()) {
        return;
    }
    auto &idle = it->second;
    idle.erase(std::remove_if(idle.begin(), idle.end(), [connection](const IdleConnection &entry) { return entry.connection.get() == connection; }),
               idle.end());
    if (idle.empty()) {
        m_idleConnections.erase(it);
    }
}

void WebClient::closeIdleConnections(const asio::ip::tcp::endpoint &server)
{
    const auto it = m_idleConnections.find(server);
    if (it == m_idleConnections.end()) {
        return;
    }
    const auto idle = std::move(it->second);
    m_idleConnections.erase(it);
    for (const auto &entry : idle) {
        entry.connection->close();
    }
}

}
