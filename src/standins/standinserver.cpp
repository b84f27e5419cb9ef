#include "standins/standinserver.h"

#include "base/systemclock.h"

#include <utility>

namespace Basilbend
{

namespace Internal
{

// Half of the slice in which the stand-in engine generates.
constexpr Milliseconds TickPeriod{5};

}

StandInServer::StandInServer(std::unique_ptr<StandIn> standIn, const std::string &address, std::uint16_t port)
    : m_standIn(std::move(standIn))
    , m_address(address)
    , m_server(address,
               port,
               1,
               HttpLimits(),
               [this](HttpRequest request, std::unique_ptr<HttpResponder> responder) {
                   const std::lock_guard lock(m_mutex);
                   m_standIn->handle(std::move(request), std::move(responder), systemNow());
               })
    , m_ticker([this] { runTicks(); })
{
}

StandInServer::~StandInServer()
{
    stop();
}

std::uint16_t StandInServer::port() const
{
    return m_server.port();
}

std::string StandInServer::url() const
{
    return "http://" + m_address + ":" + std::to_string(port());
}

nlohmann::json StandInServer::stats()
{
    const std::lock_guard lock(m_mutex);
    return m_standIn->stats();
}

void StandInServer::setFaults(const nlohmann::json &faults)
{
    const std::lock_guard lock(m_mutex);
    m_standIn->faults().set(faults).value();
}

void StandInServer::stop()
{
    m_stopping = true;
    if (m_ticker.joinable()) {
        m_ticker.join();
    }
    m_server.stop();
}

void StandInServer::runTicks()
{
    while (!m_stopping) {
        {
            const std::lock_guard lock(m_mutex);
            m_standIn->tick(systemNow());
        }
        std::this_thread::sleep_for(Internal::TickPeriod);
    }
}

}
