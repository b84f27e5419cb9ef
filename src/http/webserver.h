#pragma once

#include "http/serversession.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <unordered_map>

namespace Basilbend
{

/// HTTP/1.1 server that listens on one address. Runs on the thread of its I/O context.
class WebServer
{
public:
    /// The server sets the onClosed hook itself. Throws asio::system_error when the address can't be bound.
    WebServer(asio::io_context &io, const std::string &address, ServerHooks hooks);
    ~WebServer();
    WebServer(const WebServer &) = delete;
    WebServer &operator=(const WebServer &) = delete;

    void stopAccepting();

    /// Closes idle connections. While the server drains, busy ones close after their response.
    void closeIdleSessions();

    std::size_t sessionCount() const;
    std::size_t busySessionCount() const;

    /// Returns the bound port, which the system chooses when the address has port 0.
    std::uint16_t port() const;

private:
    void accept();

    ServerHooks m_hooks;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    std::unordered_map<ServerSession *, std::weak_ptr<ServerSession>> m_sessions;
    bool m_hasAcceptFailed = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
