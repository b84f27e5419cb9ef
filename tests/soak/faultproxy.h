#pragma once

#include "base/eventloop.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// Faults of a link.
enum class LinkFault {
    None,
    /// New connections are reset at once; open ones continue.
    Refuse,
    /// No bytes pass in either direction. They are held back and pass when the fault ends, as after a partition.
    Silent,
    /// Requests pass, answers are held back.
    SilentAnswers,
    /// Each piece of data is delayed by ProxyDelay.
    Slow,
};

const char *linkFaultName(LinkFault fault);

/// A TCP proxy on the loopback interface whose link can fail in several ways.
class FaultProxy
{
public:
    static constexpr Milliseconds ProxyDelay{150};

    FaultProxy(asio::io_context &io, EventLoop loop);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /// "127.0.0.1:PORT" of the proxy.
    std::string address() const;
    std::uint16_t port() const;

    /// Sets the port on the loopback interface to which new connections are forwarded.
    void setTarget(std::uint16_t port);
    std::uint16_t target() const;

    void setFault(LinkFault fault);

    /// Sets whether a process listens behind the proxy. Without one the host refuses connections.
    void setListening(bool isListening);

    /// Time at which the last fault ended; the current time during a fault.
    Timestamp healedAt() const;

    /// Resets all open connections.
    void resetAll();

    /// Open connections pass nothing any more, not even their end. New ones are not affected.
    void silenceOpenConnections();

private:
    struct State;
    class Connection;

    static void accept(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

}
