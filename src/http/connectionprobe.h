#pragma once

#include "base/timestamp.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace Basilbend
{

/// What an attempt to connect shows about the process that should listen at an address.
enum class ProbeResult {
    Accepted,
    /// The host answers, but no process listens.
    Refused,
    /// No answer in time, or an error that says nothing about the process.
    Unknown,
};

/// Connects to an address, closes the connection at once and reports the result. Sends no data.
class ConnectionProbe : public std::enable_shared_from_this<ConnectionProbe>
{
public:
    explicit ConnectionProbe(asio::io_context &io);

    /// Keeps itself alive until the callback has been called, which happens once and from the event loop.
    void start(const asio::ip::tcp::endpoint &server, Milliseconds timeout, std::function<void(ProbeResult)> callback);

private:
    void finish(ProbeResult result);

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::function<void(ProbeResult)> m_callback;
};

}
