#pragma once

#include "http/httpmessage.h"
#include "http/messageparser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// An endpoint of which the test writes the responses byte by byte. Its process can be killed: the system then closes its connections
/// in order, without a reset, and its address refuses new ones.
class RawEndpoint
{
public:
    struct Connection : std::enable_shared_from_this<Connection> {
        explicit Connection(asio::ip::tcp::socket from)
            : socket(std::move(from))
        {
        }

        asio::ip::tcp::socket socket;
        std::string input = std::string(4096, 0);
        RequestMessage request;
        std::unique_ptr<MessageParser> parser;
        /// Number of requests that the connection has carried, among them those that ask who the endpoint is.
        int requests = 0;
        std::string repeated = {};

        void write(const std::string &bytes)
        {
            asio::error_code ec;
            asio::write(socket, asio::buffer(bytes), ec);
        }

        /// Writes the bytes again and again until the connection closes.
        void repeat(const std::string &bytes)
        {
            repeated = bytes;
            asio::async_write(socket, asio::buffer(repeated), [self = shared_from_this()](const asio::error_code &ec, std::size_t) {
                if (!ec) {
                    self->repeat(self->repeated);
                }
            });
        }

        void close()
        {
            asio::error_code ec;
            socket.close(ec);
        }
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    RawEndpoint(asio::io_context &io, std::string endpointId, std::int64_t startedAtMs)
        : id(std::move(endpointId))
        , startedAt(startedAtMs)
        , m_io(io)
    {
        start(0);
    }

    ~RawEndpoint()
    {
        kill();
    }

    std::string id;
    std::int64_t startedAt = 0;
    /// Called with each request that does not ask who the endpoint is.
    std::function<void(const ConnectionPtr &)> onRequest = [](const ConnectionPtr &) {};
    /// Called with the head of each such request, before its body has been read.
    std::function<void(const ConnectionPtr &)> onRequestHead = [](const ConnectionPtr &) {};
    std::vector<RequestMessage> requests;
    int identityRequests = 0;
    /// Requests that ask who the endpoint is get no answer.
    bool isSilent = false;

    std::uint16_t port() const
    {
        return m_port;
    }

    /// The head of a response that has no length and ends with its connection.
    static std::string head(const std::string &attemptId)
    {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBasilbend-Attempt-Id: " + attemptId + "\r\nBasilbend-Server-Signature: s\r\n\r\n";
    }

    std::size_t connectionCount() const
    {
        return m_connections.size();
    }

    void kill()
    {
        m_acceptor.reset();
        for (const auto &connection : m_connections) {
            connection->close();
        }
        m_connections.clear();
    }

    void restart(std::string newId, std::int64_t newStart)
    {
        id = std::move(newId);
        startedAt = newStart;
        start(m_port);
    }

private:
    void start(std::uint16_t port)
    {
        m_acceptor = std::make_unique<asio::ip::tcp::acceptor>(m_io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port));
        m_port = m_acceptor->local_endpoint().port();
        accept();
    }

    void accept()
    {
        m_acceptor->async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
            if (ec) {
                return;
            }
            const auto connection = std::make_shared<Connection>(std::move(socket));
            m_connections.push_back(connection);
            MessageHooks hooks;
            hooks.onHead = [this, weak = std::weak_ptr<Connection>(connection)](MessageHead &&head) { acceptHead(weak.lock(), std::move(head)); };
            hooks.onBody = [raw = connection.get()](std::string_view data) { raw->request.body.append(data); };
            hooks.onComplete = [this, weak = std::weak_ptr<Connection>(connection)] { serve(weak.lock()); };
            connection->parser = std::make_unique<MessageParser>(MessageParser::Kind::Request, std::move(hooks));
            read(connection);
            accept();
        });
    }

    void read(const ConnectionPtr &connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->input), [this, connection](const asio::error_code &ec, std::size_t n) {
            if (ec) {
                return;
            }
            connection->parser->feed({connection->input.data(), n});
            if (connection->socket.is_open()) {
                read(connection);
            }
        });
    }

    void acceptHead(const ConnectionPtr &connection, MessageHead &&head)
    {
        connection->request = {head.method, head.target, std::move(head.fields), {}};
        if (connection->request.method != "GET") {
            onRequestHead(connection);
        }
    }

    void serve(const ConnectionPtr &connection)
    {
        const auto &request = connection->request;
        ++connection->requests;
        if (request.method != "GET") {
            requests.push_back(request);
            onRequest(connection);
            return;
        }
        ++identityRequests;
        if (isSilent) {
            return;
        }
        const auto expected = request.fields.value("Basilbend-Expect-Instance");
        const bool isOther = !expected.empty() && expected != id;
        const auto body = "{\"born\":" + std::to_string(startedAt) + "}";
        connection->write(std::string("HTTP/1.1 ") + (isOther ? "421 Misdirected Request" : "200 OK") + "\r\nBasilbend-Instance-Id: " + id
                          + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    asio::io_context &m_io;
    std::uint16_t m_port = 0;
    std::unique_ptr<asio::ip::tcp::acceptor> m_acceptor;
    std::vector<ConnectionPtr> m_connections;
};

}
