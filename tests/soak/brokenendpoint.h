#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// A faulty plain endpoint. It answers each request as soon as it has read the head, with an invalid response or with part of one, in turn, and
/// ends the connection without reading the rest. It goes on running, so it answers who it is.
class BrokenEndpoint
{
public:
    /// Writes a key of the metadata store, or removes it when the value is empty.
    using WriteKey = std::function<void(const std::string &key, const std::string &value)>;

    BrokenEndpoint(asio::io_context &io, const std::string &service, std::string id, WriteKey writeKey);

    /// Leaves the service and closes all connections.
    void stop();

    /// Number of requests that were answered, without those that ask who the endpoint is.
    int requests() const
    {
        return m_requests;
    }

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept();
    void read(const ConnectionPtr &connection);
    void respond(const ConnectionPtr &connection);

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_id;
    WriteKey m_writeKey;
    std::vector<std::weak_ptr<Connection>> m_connections;
    int m_requests = 0;
};

}
