#pragma once

#include "base/eventloop.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// What happens to the bytes of a link.
enum class LinkFault {
    None,
    /// New connections are closed at once; open ones go on.
    Refuse,
    /// Nothing passes in either direction. Bytes are kept and pass when the fault ends, as after a partition.
    Silent,
    /// Requests pass and answers do not.
    SilentAnswers,
    /// Each piece passes this much later: ProxyDelay.
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

    /// Where new connections go.
    void setTarget(std::uint16_t port);
    std::uint16_t target() const;

    void setFault(LinkFault fault);

    /// The end of the last fault.
    Timestamp healedAt() const;

    /// Resets all open connections.
    void resetAll();

private:
    struct State;
    class Link;

    static void accept(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

}
