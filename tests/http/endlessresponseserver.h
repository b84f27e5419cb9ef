#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// A faulty server. Responds to the first bytes on each connection with a prefix and then repeats the same data until the client
/// closes the connection.
class EndlessResponseServer
{
public:
    EndlessResponseServer(asio::io_context &io, std::string prefix, std::string repeated)
        : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , m_prefix(std::move(prefix))
        , m_repeated(std::move(repeated))
    {
        accept();
    }

    asio::ip::tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

    /// Bytes that have been written to the sockets of clients.
    std::size_t sentBytes = 0;
    int closedConnectionCount = 0;

private:
    struct Connection {
        explicit Connection(asio::ip::tcp::socket from)
            : socket(std::move(from))
        {
        }
        asio::ip::tcp::socket socket;
        std::string input = std::string(4096, 0);
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
            if (ec) {
                return;
            }
            auto connection = std::make_shared<Connection>(std::move(socket));
            connection->socket.async_read_some(asio::buffer(connection->input), [this, connection](const asio::error_code &error, std::size_t) {
                if (!error) {
                    write(connection, m_prefix);
                }
            });
            accept();
        });
    }

    void write(const std::shared_ptr<Connection> &connection, const std::string &text)
    {
        asio::async_write(connection->socket, asio::buffer(text), [this, connection](const asio::error_code &ec, std::size_t n) {
            sentBytes += n;
            if (ec) {
                ++closedConnectionCount;
            } else {
                write(connection, m_repeated);
            }
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_prefix;
    std::string m_repeated;
};

}
