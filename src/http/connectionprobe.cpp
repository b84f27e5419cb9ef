#include "http/connectionprobe.h"

#include "http/socketoptions.h"

#include <utility>

namespace Basilbend
{

ConnectionProbe::ConnectionProbe(asio::io_context &io)
    : m_socket(io)
    , m_timer(io)
{
}

void ConnectionProbe::start(const asio::ip::tcp::endpoint &server, Milliseconds timeout, std::function<void(ProbeResult)> callback)
{
    m_callback = std::move(callback);
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &ec) {
        if (!ec) {
            self->finish(ProbeResult::Unknown);
        }
    });
    m_socket.async_connect(server, [self = shared_from_this()](const asio::error_code &ec) {
        const bool isRefused = ec == asio::error::connection_refused;
        self->finish(!ec ? ProbeResult::Accepted : isRefused ? ProbeResult::Refused : ProbeResult::Unknown);
    });
}

void ConnectionProbe::finish(ProbeResult result)
{
    if (!m_callback) {
        return;
    }
    m_timer.cancel();
    resetConnection(m_socket);
    std::exchange(m_callback, nullptr)(result);
}

}
