#pragma once

#include "base/timestamp.h"
#include "http/clientcall.h"
#include "http/messageparser.h"
#include "http/socketreader.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Basilbend
{

/// A connection to a server. Carries one call at a time and stays open between calls.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /// Called when a call has completed and the connection can be reused.
    using IdleHook = std::function<void(const std::shared_ptr<ClientConnection> &)>;
    /// Called when the connection has been closed.
    using ClosedHook = std::function<void(ClientConnection *)>;

    /// number: identifies the connection among those of its client.
    ClientConnection(asio::io_context &io, asio::ip::tcp::endpoint server, std::uint64_t number, IdleHook onIdle, ClosedHook onClosed);
    ~ClientConnection();

    /// Starts a call with the serialized request. Connects first if the connection is not established yet.
    void start(std::string request, CallHooks hooks, Milliseconds connectTimeout);

    /// Closes the connection immediately. The hooks of an open call are not called.
    void close();

    std::uint64_t number() const
    {
        return m_number;
    }

    const asio::ip::tcp::endpoint &server() const
    {
        return m_server;
    }

    /// How long the server keeps the connection open while idle, from its Keep-Alive field; zero when it gave none.
    Milliseconds keepAliveTimeout() const
    {
        return m_keepAliveTimeout;
    }

    bool isConnected() const
    {
        return m_connected && !m_closed;
    }

private:
    void connect(Milliseconds timeout);
    void writeRequest();
    void handleBytes(std::string_view bytes);
    void handleHead(MessageHead &&head);
    void handleBody(std::string_view data);
    void handleMessageEnd();
    void handleStreamEnd(bool isOrderly);
    void endCall(CallOutcome outcome);
    void closeSocket();

    asio::ip::tcp::socket m_socket;
    asio::ip::tcp::endpoint m_server;
    std::uint64_t m_number;
    asio::steady_timer m_connectTimer;
    MessageParser m_parser;
    SocketReader m_reader;
    IdleHook m_onIdle;
    ClosedHook m_onClosed;
    /// Shared with the code that is calling a hook, because a hook may cancel its own call.
    std::shared_ptr<const CallHooks> m_hooks;
    std::string m_request;
    Milliseconds m_keepAliveTimeout{0};
    bool m_connected = false;
    bool m_closed = false;
    bool m_hasCall = false;
    /// The whole request has been passed to the system. Stays false after a failed write.
    bool m_requestWritten = false;
    bool m_responseKeepsAlive = false;
    bool m_responseStarted = false;
    bool m_skippingResponse = false;
    bool m_hasSkippedResponse = false;
    bool m_messageComplete = false;
    /// The response can't belong to this call, or it exceeds a limit.
    bool m_responseRejected = false;
    /// The connection has completed an earlier call.
    bool m_reused = false;
    std::size_t m_skippedBytes = 0;
    int m_skippedResponses = 0;
    std::size_t m_bodyBytes = 0;
};

}
