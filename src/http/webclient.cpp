#include "http/webclient.h"

#include <algorithm>
#include <vector>

namespace Basilbend
{

namespace
{

/// An idle connection is not reused when less than this is left of the server's keep-alive timeout, because the server's
/// close may already be in transit.
constexpr Milliseconds KeepAliveMargin{300};

}

ClientCall::ClientCall(const std::shared_ptr<ClientChannel> &channel, std::shared_ptr<bool> open)
    : m_channel(channel)
    , m_open(std::move(open))
{
}

ClientCall::~ClientCall()
{
    cancel();
}

ClientCall &ClientCall::operator=(ClientCall &&other) noexcept
{
    if (this != &other) {
        cancel();
        m_channel = std::move(other.m_channel);
        m_open = std::move(other.m_open);
    }
    return *this;
}

void ClientCall::cancel()
{
    if (!m_open || !*m_open) {
        return;
    }
    *m_open = false;
    if (const auto channel = m_channel.lock()) {
        channel->close();
    }
}

WebClient::WebClient(asio::io_context &io, std::function<Timestamp()> clock)
    : m_io(io)
    , m_clock(std::move(clock))
{
}

WebClient::~WebClient()
{
    *m_alive = false;
}

ClientCall WebClient::send(const asio::ip::tcp::endpoint &server, const RequestMessage &request, CallHooks hooks, Milliseconds connectTimeout)
{
    ++m_counts.calls;
    auto channel = takeIdle(server);
    if (!channel) {
        ++m_counts.connects;
        channel = std::make_shared<ClientChannel>(
            m_io,
            server,
            [this, alive = m_alive](const std::shared_ptr<ClientChannel> &idle) {
                if (*alive) {
                    putIdle(idle);
                }
            },
            [this, alive = m_alive](ClientChannel *closed) {
                if (*alive) {
                    drop(closed);
                }
            });
    }
    auto open = std::make_shared<bool>(true);
    hooks.onEnd = [open, onEnd = std::move(hooks.onEnd)](CallEnd end) {
        *open = false;
        onEnd(end);
    };
    channel->start(requestBytes(request), std::move(hooks), connectTimeout);
    return ClientCall(channel, open);
}

std::shared_ptr<ClientChannel> WebClient::takeIdle(const asio::ip::tcp::endpoint &server)
{
    const auto it = m_idle.find(server);
    if (it == m_idle.end()) {
        return nullptr;
    }
    std::shared_ptr<ClientChannel> usable;
    std::vector<Idle> expired;
    auto &idle = it->second;
    while (!idle.empty() && !usable) {
        // Reuses the connection that has been idle longest, so that the server closes none of them between two bursts.
        auto entry = std::move(idle.front());
        idle.pop_front();
        const auto kept = entry.channel->keepAliveTime();
        const bool isExpired = kept.count() > 0 && m_clock() - entry.since + KeepAliveMargin >= kept;
        if (entry.channel->isConnected() && !isExpired) {
            usable = std::move(entry.channel);
        } else {
            expired.push_back(std::move(entry));
        }
    }
    // Closed after the loop, because closing a connection modifies the pool.
    for (const auto &entry : expired) {
        entry.channel->close();
    }
    return usable;
}

void WebClient::putIdle(const std::shared_ptr<ClientChannel> &channel)
{
    m_idle[channel->server()].push_back({channel, m_clock()});
}

void WebClient::drop(ClientChannel *channel)
{
    const auto it = m_idle.find(channel->server());
    if (it == m_idle.end()) {
        return;
    }
    auto &idle = it->second;
    idle.erase(std::remove_if(idle.begin(), idle.end(), [channel](const Idle &entry) { return entry.channel.get() == channel; }), idle.end());
    if (idle.empty()) {
        m_idle.erase(it);
    }
}

void WebClient::forget(const asio::ip::tcp::endpoint &server)
{
    const auto it = m_idle.find(server);
    if (it == m_idle.end()) {
        return;
    }
    const auto idle = std::move(it->second);
    m_idle.erase(it);
    for (const auto &entry : idle) {
        entry.channel->close();
    }
}

}
