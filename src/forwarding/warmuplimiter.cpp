#include "forwarding/warmuplimiter.h"

#include <algorithm>
#include <cmath>

namespace Basilbend
{

WarmupLimiter::WarmupLimiter(WarmupTolerance tolerance, int senders)
    : m_tolerance(tolerance)
    , m_senders(std::max(1, senders))
{
}

std::size_t WarmupLimiter::requestsLeft(const std::string &endpoint, const ServiceSpec &service, Timestamp now) const
{
    if (service.warmupRequestsPerSecond <= 0) {
        return Unlimited;
    }
    const auto limit = limitPerWindow(service);
    const auto it = m_sentAt.find(endpoint);
    if (it == m_sentAt.end()) {
        return limit;
    }
    const auto recent = std::count_if(it->second.begin(), it->second.end(), [now](Timestamp sentAt) { return now - sentAt < Window; });
    return limit - std::min(limit, static_cast<std::size_t>(recent));
}

void WarmupLimiter::recordRequest(const std::string &endpoint, Timestamp now)
{
    removeExpired(now);
    m_sentAt[endpoint].push_back(now);
}

std::size_t WarmupLimiter::limitPerWindow(const ServiceSpec &service) const
{
    const double allowed = service.warmupRequestsPerSecond * m_tolerance.rateFactor + m_tolerance.extraRequests;
    return static_cast<std::size_t>(std::max(1.0, std::floor(allowed / m_senders)));
}

void WarmupLimiter::removeExpired(Timestamp now)
{
    if (now - m_expiredRemovedAt < Window) {
        return;
    }
    m_expiredRemovedAt = now;
    for (auto it = m_sentAt.begin(); it != m_sentAt.end();) {
        auto &times = it->second;
        while (!times.empty() && now - times.front() >= Window) {
            times.pop_front();
        }
        it = times.empty() ? m_sentAt.erase(it) : std::next(it);
    }
}

}
