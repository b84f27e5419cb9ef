#include "stand/rawserver.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

namespace Basilbend::Review
{

namespace
{

constexpr std::size_t BufferBytes = 64 * 1024;

}

Channel::Channel(asio::ip::tcp::socket socket, RequestHook onRequest)
    : m_socket(std::move(socket))
    , m_onRequest(std::move(onRequest))
    , m_parser(MessageParser::Kind::Request,
               {[this](MessageHead &&head) {
                    m_request = RequestMessage{head.method, head.target, std::move(head.fields), {}};
                },
                [this](std::string_view data) { m_request.body.append(data); },
                [this] { m_isBusy = true; }})
    , m_buffer(BufferBytes, '\0')
{
}

void Channel::start()
{
    asio::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    read();
}

void Channel::read()
{
    m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const asio::error_code &ec, std::size_t n) {
        if (ec) {
            self->close();
            return;
        }
        self->m_input.append(self->m_buffer.data(), n);
        self->parse();
        if (self->m_socket.is_open()) {
            self->read();
        }
    });
}

void Channel::parse()
{
    while (!m_isBusy && !m_input.empty() && m_socket.is_open()) {
        const auto n = m_parser.feed(m_input);
        m_input.erase(0, n);
        if (m_parser.hasFailed()) {
            close();
            return;
        }
        if (m_isBusy) {
            const auto request = std::move(m_request);
            m_request = {};
            m_onRequest(shared_from_this(), request);
        }
    }
}

void Channel::write(std::string bytes)
{
    m_output.push_back(std::move(bytes));
    flush();
}

void Channel::next()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_isBusy = false;
        self->parse();
    });
}

void Channel::closeAfterWrites()
{
    m_closesAfterWrites = true;
    flush();
}

void Channel::flush()
{
    if (m_isWriting || !m_socket.is_open()) {
        return;
    }
    if (m_output.empty()) {
        if (m_closesAfterWrites) {
            close();
        }
        return;
    }
    m_isWriting = true;
    asio::async_write(m_socket, asio::buffer(m_output.front()), [self = shared_from_this()](const asio::error_code &ec, std::size_t) {
        self->m_isWriting = false;
        self->m_output.pop_front();
        if (ec) {
            self->close();
        } else {
            self->flush();
        }
    });
}

void Channel::close()
{
    if (!m_socket.is_open()) {
        return;
    }
    asio::error_code ec;
    m_socket.close(ec);
    if (const auto hook = std::move(onClosed)) {
        onClosed = nullptr;
        hook();
    }
}

RawServer::RawServer(asio::io_context &io, std::uint16_t port, Channel::RequestHook onRequest)
    : m_acceptor(io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port))
    , m_onRequest(std::move(onRequest))
{
    accept();
}

std::uint16_t RawServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

void RawServer::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
        if (!ec) {
            std::make_shared<Channel>(std::move(socket), m_onRequest)->start();
        }
        if (ec != asio::error::operation_aborted) {
            accept();
        }
    });
}

}
