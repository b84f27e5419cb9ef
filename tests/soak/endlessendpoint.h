#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// A faulty endpoint. It answers each request with bytes that end only when the caller closes the connection: in the head, in trailers,
/// in interim responses, in the body, in one event or in comments, in turn.
class EndlessEndpoint
{
public:
    /// Writes a key of the metadata store, or removes it when the value is empty.
    using WriteKey = std::function<void(const std::string &key, const std::string &value)>;

    /// models: those that the endpoint claims to serve; empty for a plain service.
    EndlessEndpoint(asio::io_context &io, const std::string &service, std::string id, const std::vector<std::string> &models, WriteKey writeKey);

    /// Leaves the service and closes all connections.
    void stop();

    /// Number of requests that were answered.
    int requests() const
    {
        return m_requests;
    }

    /// Bytes that callers have taken.
    std::uint64_t sentBytes() const
    {
        return m_sentBytes;
    }

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept();
    void read(const ConnectionPtr &connection);
    void respond(const ConnectionPtr &connection);
    void write(const ConnectionPtr &connection, const std::string &bytes);

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_id;
    WriteKey m_writeKey;
    std::vector<std::weak_ptr<Connection>> m_connections;
    int m_requests = 0;
    std::uint64_t m_sentBytes = 0;
};

}
