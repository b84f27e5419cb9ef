#pragma once

#include "base/timestamp.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// What each connection of a crowd sends, and how it reads.
struct CrowdPlan {
    int connections = 40;
    /// Sent once at the start of each connection.
    std::string opening;
    /// Sent again and again after the opening, until maxBytes are sent.
    std::string repeated;
    std::size_t maxBytes = 0;
    /// Bytes that are read each ReadInterval; zero: nothing is read.
    std::size_t bytesPerRead = 0;

    static constexpr Milliseconds ReadInterval{100};
};

/// Clients on the loopback interface that do not behave. A connection that the server closes is not opened again. The load ends by
/// itself: each connection sends a bounded number of bytes.
class HostileCrowd
{
public:
    HostileCrowd(asio::io_context &io, const asio::ip::tcp::endpoint &server, const CrowdPlan &plan);
    ~HostileCrowd();

    /// Runs the event loop until no connection has made progress for QuietTime, or for LongestRun.
    void run();

    /// Number of bytes that all connections have sent.
    std::size_t sentBytes() const;

    static constexpr Milliseconds QuietTime{1500};
    static constexpr Milliseconds LongestRun{12000};

private:
    class Client;

    asio::io_context &m_io;
    std::vector<std::shared_ptr<Client>> m_clients;
};

}
