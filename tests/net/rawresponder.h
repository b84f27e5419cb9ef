#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <string>
#include <thread>

namespace Basilbend
{

/// Accepts one connection on a loopback port, writes fixed bytes after the first bytes of a request, and ends its side of the connection in
/// order. The rest of the request stays unread until the responder is destroyed.
class RawResponder
{
public:
    explicit RawResponder(std::string bytes)
        : m_bytes(std::move(bytes))
        , m_thread([this] { respond(); })
    {
    }

    ~RawResponder()
    {
        m_thread.join();
    }

    RawResponder(const RawResponder &) = delete;
    RawResponder &operator=(const RawResponder &) = delete;

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_port) + "/";
    }

private:
    void respond()
    {
        asio::error_code ec;
        m_acceptor.accept(m_socket, ec);
        std::array<char, 4096> input{};
        m_socket.read_some(asio::buffer(input), ec);
        asio::write(m_socket, asio::buffer(m_bytes), ec);
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    }

    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor{m_io, {asio::ip::make_address("127.0.0.1"), 0}};
    std::uint16_t m_port = m_acceptor.local_endpoint().port();
    asio::ip::tcp::socket m_socket{m_io};
    std::string m_bytes;
    std::thread m_thread;
};

}
