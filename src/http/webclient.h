#pragma once

#include "http/clientconnection.h"
#include "http/connectionhistory.h"
#include "http/connectionprobe.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace Basilbend
{

/// Handle of a call. Destroying it cancels an open call: its connection is closed, which signals the server to stop.
class ClientCall
{
public:
    ClientCall() = default;
    explicit ClientCall(const std::shared_ptr<ClientConnection> &connection, std::shared_ptr<bool> open);
    ~ClientCall();
    ClientCall(ClientCall &&other) noexcept = default;
    ClientCall &operator=(ClientCall &&other) noexcept;
    ClientCall(const ClientCall &) = delete;
    ClientCall &operator=(const ClientCall &) = delete;

    void cancel();

private:
    std::weak_ptr<ClientConnection> m_connection;
    std::shared_ptr<bool> m_open;
};

struct WebClientCounts {
    std::uint64_t connects = 0;
    std::uint64_t calls = 0;
    /// Calls whose request was not serializable.
    std::uint64_t refusedCalls = 0;
};

/// HTTP/1.1 client for many servers, with a pool of idle connections per server. Runs on the thread of its I/O context.
class WebClient
{
public:
    WebClient(asio::io_context &io, std::function<Timestamp()> clock);
    ~WebClient();
    WebClient(const WebClient &) = delete;
    WebClient &operator=(const WebClient &) = delete;

    /// Sends a request. The hooks are called from the event loop, never from within this function. A request that is not serializable is
    /// not sent: its call ends as not connected.
    ClientCall send(const asio::ip::tcp::endpoint &server, const RequestMessage &request, CallHooks hooks, Milliseconds connectTimeout);

    /// Sends a request that may be sent more than once, on a connection that has not carried it. history: connections of the earlier
    /// sendings, to which the one of this sending is added.
    ClientCall
    sendAgain(const asio::ip::tcp::endpoint &server, const RequestMessage &request, CallHooks hooks, Milliseconds connectTimeout, ConnectionHistory &history);

    /// Finds out whether a process listens at the address. The callback is called from the event loop, once.
    void probe(const asio::ip::tcp::endpoint &server, Milliseconds timeout, std::function<void(ProbeResult)> callback);

    /// Closes the idle connections to a server, for example when it has left.
    void closeIdleConnections(const asio::ip::tcp::endpoint &server);

    const WebClientCounts &counts() const
    {
        return m_counts;
    }

private:
    struct IdleConnection {
        std::shared_ptr<ClientConnection> connection;
        Timestamp since;
    };

    /// Ends a call as not connected, from the event loop.
    ClientCall refuseCall(CallHooks hooks);
    ClientCall startCall(const std::shared_ptr<ClientConnection> &connection, const RequestMessage &request, CallHooks hooks, Milliseconds connectTimeout);
    std::shared_ptr<ClientConnection> openConnection(const asio::ip::tcp::endpoint &server);
    /// Returns an idle connection that is not in the history, or null.
    std::shared_ptr<ClientConnection> takeIdle(const asio::ip::tcp::endpoint &server, const ConnectionHistory &history);
    /// Closes the connections that have been idle longest, up to the first that can be used.
    void closeExpired(const asio::ip::tcp::endpoint &server);
    void putIdle(const std::shared_ptr<ClientConnection> &connection);
    void removeFromIdle(ClientConnection *connection);

    asio::io_context &m_io;
    std::function<Timestamp()> m_clock;
    std::map<asio::ip::tcp::endpoint, std::deque<IdleConnection>> m_idleConnections;
    WebClientCounts m_counts;
    std::uint64_t m_lastConnection = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
