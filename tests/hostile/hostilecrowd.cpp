#include "hostile/hostilecrowd.h"

#include "base/systemclock.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>

namespace Basilbend
{

class HostileCrowd::Client : public std::enable_shared_from_this<Client>
{
public:
    Client(asio::io_context &io, const CrowdPlan &plan)
        : m_plan(plan)
        , m_socket(io)
        , m_readTimer(io)
        , m_pending(plan.opening)
    {
    }

    void start(const asio::ip::tcp::endpoint &server)
    {
        m_socket.async_connect(server, [self = shared_from_this()](const asio::error_code &ec) {
            if (!ec) {
                self->send();
                self->readLater();
            }
        });
    }

    void close()
    {
        asio::error_code ec;
        m_readTimer.cancel();
        m_socket.close(ec);
    }

    std::size_t sentBytes() const
    {
        return m_sentBytes;
    }

private:
    void send()
    {
        if (m_pending.empty()) {
            // Several copies at once, so that the sender is not slower than the server.
            while (!m_plan.repeated.empty() && m_pending.size() < BytesPerWrite) {
                m_pending += m_plan.repeated;
            }
        }
        if (m_pending.empty() || m_sentBytes >= std::max(m_plan.maxBytes, m_plan.opening.size())) {
            return;
        }
        m_socket.async_write_some(asio::buffer(m_pending), [self = shared_from_this()](const asio::error_code &ec, std::size_t n) {
            if (ec) {
                return;
            }
            self->m_sentBytes += n;
            self->m_pending.erase(0, n);
            self->send();
        });
    }

    void readLater()
    {
        if (m_plan.bytesPerRead == 0) {
            return;
        }
        m_readTimer.expires_after(CrowdPlan::ReadInterval);
        m_readTimer.async_wait([self = shared_from_this()](const asio::error_code &ec) {
            if (ec) {
                return;
            }
            const auto n = std::min(self->m_plan.bytesPerRead, self->m_received.size());
            self->m_socket.async_read_some(asio::buffer(self->m_received, n), [self](const asio::error_code &error, std::size_t) {
                if (!error) {
                    self->readLater();
                }
            });
        });
    }

    static constexpr std::size_t BytesPerWrite = 16 * 1024;

    const CrowdPlan m_plan;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_readTimer;
    std::string m_pending;
    std::array<char, 4096> m_received{};
    std::size_t m_sentBytes = 0;
};

HostileCrowd::HostileCrowd(asio::io_context &io, const asio::ip::tcp::endpoint &server, const CrowdPlan &plan)
    : m_io(io)
{
    for (int i = 0; i < plan.connections; ++i) {
        m_clients.push_back(std::make_shared<Client>(io, plan));
        m_clients.back()->start(server);
    }
}

HostileCrowd::~HostileCrowd()
{
    for (const auto &client : m_clients) {
        client->close();
    }
}

std::size_t HostileCrowd::sentBytes() const
{
    std::size_t n = 0;
    for (const auto &client : m_clients) {
        n += client->sentBytes();
    }
    return n;
}

void HostileCrowd::run()
{
    constexpr Milliseconds Slice{50};
    const auto end = systemNow() + LongestRun;
    auto progressAt = systemNow();
    auto sent = sentBytes();
    while (systemNow() < end && systemNow() - progressAt < QuietTime) {
        m_io.run_for(Slice);
        if (sentBytes() != sent) {
            sent = sentBytes();
            progressAt = systemNow();
        }
    }
}

}
