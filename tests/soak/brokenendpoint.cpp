#include "soak/brokenendpoint.h"

#include "http/socketoptions.h"
#include "platform/wirenames.h"

#include <array>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace
{

using nlohmann::json;

constexpr std::size_t InputBytes = 16 * 1024;
/// Time for which a connection stays open after its response has ended in order. A close with unread input resets it.
constexpr std::chrono::milliseconds CloseDelay{500};

enum class Ending {
    Reset,
    Shutdown,
};

struct Form {
    std::string statusLine;
    /// Rest of the response after the fields that name the request.
    std::string rest;
    Ending ending;
    /// The response is invalid only because its connection ends within the request.
    bool needsLongRequest = false;
};

const std::array<Form, 9> &forms()
{
    static const std::string ok = "HTTP/1.1 200 OK\r\n";
    static const std::array<Form, 9> all = {Form{ok, "\r\npart", Ending::Reset, true},
                                            Form{ok, "X Odd: 1\r\nContent-Length: 3\r\n\r\nodd", Ending::Shutdown},
                                            Form{ok, "\r\npart", Ending::Shutdown, true},
                                            Form{"HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\n", "Content-Length: 3\r\n\r\nodd", Ending::Shutdown},
                                            Form{"HTTP/1.1 700 Odd\r\n", "Content-Length: 3\r\n\r\nodd", Ending::Shutdown},
                                            Form{ok, "Content-Length : 3\r\n\r\nodd and more", Ending::Shutdown},
                                            Form{ok, "Content Length: 3\r\n\r\nodd and more", Ending::Shutdown},
                                            Form{ok, "Transfer-Encoding: gzip\r\n\r\nodd", Ending::Shutdown},
                                            Form{"HTTP/9.9 200 OK\r\n", "Content-Length: 3\r\n\r\nodd", Ending::Reset}};
    return all;
}

/// Returns the line of the field with its line break, or nothing.
std::string lineOf(const std::string &head, const std::string &name)
{
    const auto at = head.find("\r\n" + name + ": ");
    return at == std::string::npos ? std::string() : head.substr(at + 2, head.find("\r\n", at + 2) - at);
}

}

struct BrokenEndpoint::Connection {
    explicit Connection(asio::ip::tcp::socket from)
        : socket(std::move(from))
        , closeTimer(socket.get_executor())
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer closeTimer;
    std::string input = std::string(InputBytes, 0);
    std::string head;
};

BrokenEndpoint::BrokenEndpoint(asio::io_context &io, const std::string &service, std::string id, WriteKey writeKey)
    : m_acceptor(io, {asio::ip::address_v4::loopback(), 0})
    , m_id(std::move(id))
    , m_writeKey(std::move(writeKey))
{
    const json entry{{"service", service},
                     {"address", "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())},
                     {"zone", "z0"},
                     {"version", "1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"models", json::array()}};
    m_writeKey(Wire::EndpointPrefix + m_id, entry.dump());
    accept();
}

void BrokenEndpoint::stop()
{
    m_writeKey(Wire::EndpointPrefix + m_id, {});
    asio::error_code ec;
    m_acceptor.close(ec);
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock()) {
            connection->socket.close(ec);
        }
    }
}

void BrokenEndpoint::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
        if (ec) {
            return;
        }
        const auto connection = std::make_shared<Connection>(std::move(socket));
        m_connections.push_back(connection);
        read(connection);
        accept();
    });
}

void BrokenEndpoint::read(const ConnectionPtr &connection)
{
    connection->socket.async_read_some(asio::buffer(connection->input), [this, connection](const asio::error_code &ec, std::size_t n) {
        if (ec) {
            return;
        }
        connection->head.append(connection->input, 0, n);
        if (connection->head.find("\r\n\r\n") == std::string::npos) {
            read(connection);
        } else {
            respond(connection);
        }
    });
}

void BrokenEndpoint::respond(const ConnectionPtr &connection)
{
    asio::error_code ec;
    if (connection->head.substr(0, 4) == "GET ") {
        const auto identity = std::string("HTTP/1.1 200 OK\r\n") + Wire::InstanceId + ": " + m_id + "\r\nContent-Length: 2\r\n\r\n{}";
        asio::write(connection->socket, asio::buffer(identity), ec);
        connection->head.clear();
        read(connection);
        return;
    }
    const auto form = forms()[static_cast<std::size_t>(m_requests++) % forms().size()];
    const bool isLong = connection->head.size() == InputBytes;
    if (form.needsLongRequest && !isLong) {
        resetConnection(connection->socket);
        return;
    }
    const auto fields = lineOf(connection->head, Wire::AttemptId) + Wire::Signature + ": s\r\n";
    asio::write(connection->socket, asio::buffer(form.statusLine + fields + form.rest), ec);
    if (form.ending == Ending::Reset) {
        resetConnection(connection->socket);
    } else {
        connection->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
        connection->closeTimer.expires_after(CloseDelay);
        connection->closeTimer.async_wait([connection](const asio::error_code &) {
            asio::error_code ignored;
            connection->socket.close(ignored);
        });
    }
}

}
