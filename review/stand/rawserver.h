#pragma once

#include "http/httpmessage.h"
#include "http/messageparser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace Basilbend::Review
{

/// One connection of a RawServer. It hands over one request at a time and lets its owner write any bytes.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    using RequestHook = std::function<void(const std::shared_ptr<Channel> &, const RequestMessage &)>;

    Channel(asio::ip::tcp::socket socket, RequestHook onRequest);

    void start();

    /// Sends bytes after those that are already queued.
    void write(std::string bytes);

    /// Ends the current request; the next one on this connection is handed over.
    void next();

    /// Closes the connection in order once everything is written.
    void closeAfterWrites();

    bool isOpen() const
    {
        return m_socket.is_open();
    }

    /// Called once when the peer has closed the connection.
    std::function<void()> onClosed;

    /// Second copy of an earlier answer, which is still to be sent on this connection.
    std::string lateCopy;

private:
    void read();
    void parse();
    void flush();
    void close();

    asio::ip::tcp::socket m_socket;
    RequestHook m_onRequest;
    MessageParser m_parser;
    RequestMessage m_request;
    std::string m_input;
    std::string m_buffer;
    std::deque<std::string> m_output;
    bool m_isBusy = false;
    bool m_isWriting = false;
    bool m_closesAfterWrites = false;
};

/// HTTP server whose answers may be any bytes.
class RawServer
{
public:
    /// Port 0 lets the system choose.
    RawServer(asio::io_context &io, std::uint16_t port, Channel::RequestHook onRequest);

    std::uint16_t port() const;

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    Channel::RequestHook m_onRequest;
};

}
