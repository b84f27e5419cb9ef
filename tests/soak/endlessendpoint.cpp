#include "soak/endlessendpoint.h"

#include "platform/wirenames.h"

#include <array>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace
{

using nlohmann::json;

constexpr std::size_t InputBytes = 64 * 1024;
/// Pause between two writes on one connection, so that the soak's own process keeps up.
constexpr std::chrono::milliseconds WritePause{1};

struct Form {
    /// Rest of the response's head, or the bytes in its place.
    std::string beginning;
    std::string repeated;
    bool hasHead = true;
};

const std::array<Form, 7> &forms()
{
    static const std::string filler(16'000, 'x');
    static const std::string chunk = "3e80\r\n" + filler + "\r\n";
    static const std::string stream = "Content-Type: text/event-stream\r\n\r\n";
    static const std::array<Form, 7> all = {Form{"", "X-Field: " + std::string(1000, 'x') + "\r\n"},
                                            Form{"Transfer-Encoding: chunked\r\n\r\n", chunk},
                                            Form{stream, ": keep-alive\n\n: keep-alive\n\n: keep-alive\n\n: keep-alive\n\n"},
                                            Form{stream, "data: " + filler + "\n"},
                                            Form{"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: " + std::string(1000, 'x') + "\r\n"},
                                            Form{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
                                            Form{"nothing", filler, false}};
    return all;
}

}

struct EndlessEndpoint::Connection {
    explicit Connection(asio::ip::tcp::socket from)
        : socket(std::move(from))
        , pause(socket.get_executor())
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer pause;
    std::string input = std::string(InputBytes, 0);
    std::string head;
    bool isAnswered = false;
};

EndlessEndpoint::EndlessEndpoint(asio::io_context &io, const std::string &service, std::string id, const std::vector<std::string> &models, WriteKey writeKey)
    : m_acceptor(io, {asio::ip::address_v4::loopback(), 0})
    , m_id(std::move(id))
    , m_writeKey(std::move(writeKey))
{
    auto served = json::array();
    for (const auto &model : models) {
        served.push_back({{"name", model}, {"version", 1}, {"adapters", json::array()}});
    }
    const json entry{{"service", service},
                     {"address", "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())},
                     {"zone", "z0"},
                     {"version", "1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"models", served}};
    m_writeKey(Wire::EndpointPrefix + m_id, entry.dump());
    accept();
}

void EndlessEndpoint::stop()
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

void EndlessEndpoint::accept()
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

void EndlessEndpoint::read(const ConnectionPtr &connection)
{
    connection->socket.async_read_some(asio::buffer(connection->input), [this, connection](const asio::error_code &ec, std::size_t n) {
        if (ec) {
            return;
        }
        connection->head.append(connection->input, 0, n);
        if (!connection->isAnswered && connection->head.find("\r\n\r\n") != std::string::npos) {
            connection->isAnswered = true;
            respond(connection);
        }
        read(connection);
    });
}

void EndlessEndpoint::respond(const ConnectionPtr &connection)
{
    const auto &form = forms()[static_cast<std::size_t>(m_requests++) % forms().size()];
    const auto name = std::string("\r\n") + Wire::AttemptId + ": ";
    const auto at = connection->head.find(name);
    const auto attempt = at == std::string::npos ? std::string() : connection->head.substr(at, connection->head.find("\r\n", at + 2) - at);
    const auto head = "HTTP/1.1 200 OK" + attempt + "\r\n" + Wire::Signature + ": s\r\n";
    asio::error_code ec;
    asio::write(connection->socket, asio::buffer((form.hasHead ? head : std::string()) + form.beginning), ec);
    write(connection, form.repeated);
}

void EndlessEndpoint::write(const ConnectionPtr &connection, const std::string &bytes)
{
    asio::async_write(connection->socket, asio::buffer(bytes), [this, connection, &bytes](const asio::error_code &ec, std::size_t n) {
        m_sentBytes += n;
        if (ec) {
            return;
        }
        connection->pause.expires_after(WritePause);
        connection->pause.async_wait([this, connection, &bytes](const asio::error_code &cancelled) {
            if (!cancelled) {
                write(connection, bytes);
            }
        });
    });
}

}
