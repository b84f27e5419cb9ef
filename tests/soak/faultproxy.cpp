#include "soak/faultproxy.h"

#include "http/socketoptions.h"

#include <algorithm>
#include <array>
#include <asio/write.hpp>
#include <sys/socket.h>

namespace Basilbend
{

namespace
{

constexpr Milliseconds HoldCheckInterval{10};

using Socket = asio::ip::tcp::socket;

}

const char *linkFaultName(LinkFault fault)
{
    switch (fault) {
    case LinkFault::None:
        return "none";
    case LinkFault::Refuse:
        return "refuse";
    case LinkFault::Silent:
        return "silent";
    case LinkFault::SilentAnswers:
        return "silent_answers";
    case LinkFault::Slow:
        return "slow";
    }
    return "unknown";
}

struct FaultProxy::State {
    State(asio::io_context &context, EventLoop eventLoop)
        : io(context)
        , loop(std::move(eventLoop))
        , acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
    }

    asio::io_context &io;
    EventLoop loop;
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t target = 0;
    LinkFault fault = LinkFault::None;
    Timestamp healedAt;
    std::vector<std::weak_ptr<Connection>> connections;
    /// Silenced connections, which stay open on both sides.
    std::vector<std::shared_ptr<Connection>> silenced;
    bool isStopped = false;
    bool isListening = true;
};

/// One connection through the proxy.
class FaultProxy::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<State> state, Socket client)
        : m_state(std::move(state))
        , m_client(std::move(client))
        , m_server(m_state->io)
    {
    }

    void start()
    {
        const asio::ip::tcp::endpoint target(asio::ip::address_v4::loopback(), m_state->target);
        m_server.async_connect(target, [self = shared_from_this()](const asio::error_code &ec) {
            if (ec) {
                self->reset();
                return;
            }
            applyConnectionOptions(self->m_server);
            self->relay(self->m_client, self->m_server, self->m_requestBuffer, false);
            self->relay(self->m_server, self->m_client, self->m_answerBuffer, true);
        });
    }

    void silence()
    {
        m_isSilenced = true;
        m_state->silenced.push_back(shared_from_this());
    }

    void reset()
    {
        resetConnection(m_client);
        resetConnection(m_server);
    }

private:
    using Buffer = std::array<char, 16384>;

    bool isHeldBack(bool isAnswer) const
    {
        return m_state->fault == LinkFault::Silent || (isAnswer && m_state->fault == LinkFault::SilentAnswers);
    }

    void relay(Socket &from, Socket &to, Buffer &buf, bool isAnswer)
    {
        from.async_read_some(asio::buffer(buf), [self = shared_from_this(), &from, &to, &buf, isAnswer](const asio::error_code &ec, std::size_t n) {
            if (ec) {
                self->closeOnceReleased(to, isAnswer);
                return;
            }
            const auto delay = self->m_state->fault == LinkFault::Slow ? ProxyDelay : Milliseconds(0);
            self->m_state->loop.runAfter(delay, [self, &from, &to, &buf, n, isAnswer] { self->forward(from, to, buf, n, isAnswer); });
        });
    }

    void forward(Socket &from, Socket &to, Buffer &buf, std::size_t n, bool isAnswer)
    {
        if (m_isSilenced) {
            return;
        }
        if (isHeldBack(isAnswer) && !m_state->isStopped) {
            m_state->loop.runAfter(HoldCheckInterval,
                                   [self = shared_from_this(), &from, &to, &buf, n, isAnswer] { self->forward(from, to, buf, n, isAnswer); });
            return;
        }
        asio::async_write(to, asio::buffer(buf.data(), n), [self = shared_from_this(), &from, &to, &buf, isAnswer](const asio::error_code &ec, std::size_t) {
            if (ec) {
                self->reset();
            } else {
                self->relay(from, to, buf, isAnswer);
            }
        });
    }

    /// Closes both directions when one has ended. While bytes are held back, the close is delayed until the fault ends.
    void closeOnceReleased(Socket &to, bool isAnswer)
    {
        if (m_isSilenced) {
            return;
        }
        if (isHeldBack(isAnswer) && !m_state->isStopped) {
            m_state->loop.runAfter(HoldCheckInterval, [self = shared_from_this(), &to, isAnswer] { self->closeOnceReleased(to, isAnswer); });
            return;
        }
        asio::error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
    }

    std::shared_ptr<State> m_state;
    Socket m_client;
    Socket m_server;
    Buffer m_requestBuffer{};
    Buffer m_answerBuffer{};
    bool m_isSilenced = false;
};

FaultProxy::FaultProxy(asio::io_context &io, EventLoop loop)
    : m_state(std::make_shared<State>(io, std::move(loop)))
{
    accept(m_state);
}

FaultProxy::~FaultProxy()
{
    m_state->isStopped = true;
    asio::error_code ignored;
    m_state->acceptor.close(ignored);
    resetAll();
    m_state->silenced.clear();
}

std::uint16_t FaultProxy::port() const
{
    return m_state->acceptor.local_endpoint().port();
}

std::string FaultProxy::address() const
{
    return "127.0.0.1:" + std::to_string(port());
}

void FaultProxy::setTarget(std::uint16_t port)
{
    m_state->target = port;
}

std::uint16_t FaultProxy::target() const
{
    return m_state->target;
}

void FaultProxy::setFault(LinkFault fault)
{
    if (fault == LinkFault::None && m_state->fault != LinkFault::None) {
        m_state->healedAt = m_state->loop.now();
    }
    m_state->fault = fault;
}

Timestamp FaultProxy::healedAt() const
{
    return m_state->fault == LinkFault::None ? m_state->healedAt : m_state->loop.now();
}

void FaultProxy::setListening(bool isListening)
{
    auto &state = *m_state;
    if (state.isListening == isListening) {
        return;
    }
    state.isListening = isListening;
    if (isListening) {
        state.acceptor.listen();
        accept(m_state);
    } else {
        // Ends the listening but keeps the port, which another socket could take after a close.
        ::shutdown(state.acceptor.native_handle(), SHUT_RDWR);
    }
}

void FaultProxy::resetAll()
{
    for (const auto &connection : m_state->connections) {
        if (const auto open = connection.lock()) {
            open->reset();
        }
    }
    m_state->connections.clear();
}

void FaultProxy::silenceOpenConnections()
{
    for (const auto &connection : m_state->connections) {
        if (const auto open = connection.lock()) {
            open->silence();
        }
    }
}

void FaultProxy::accept(const std::shared_ptr<State> &state)
{
    state->acceptor.async_accept([state](const asio::error_code &ec, Socket socket) {
        if (ec) {
            return;
        }
        if (state->fault == LinkFault::Refuse) {
            resetConnection(socket);
        } else {
            applyConnectionOptions(socket);
            const auto connection = std::make_shared<Connection>(state, std::move(socket));
            auto &connections = state->connections;
            connections.erase(std::remove_if(connections.begin(), connections.end(), [](const auto &other) { return other.expired(); }), connections.end());
            connections.push_back(connection);
            connection->start();
        }
        accept(state);
    });
}

}
