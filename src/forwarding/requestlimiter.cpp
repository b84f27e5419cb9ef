#include "forwarding/requestlimiter.h"

#include <algorithm>
#include <cmath>

namespace Basilbend
{

RequestLimiter::RequestLimiter(WarmupTolerance tolerance, double share)
    : m_tolerance(tolerance)
    , m_share(share)
{
}

std::size_t RequestLimiter::requestsLeft(const EndpointRecord &endpoint, const ServiceSpec &service, Timestamp now) const
{
    if (service.warmupRequestsPerSecond <= 0) {
        return Unlimited;
    }
    const auto limit = limitPerWindow(service, endpoint.warmupRemaining.count() > 0);
    const auto it = m_sentAt.find(endpoint.id);
    if (it == m_sentAt.end()) {
        return limit;
    }
    const auto recent = std::count_if(it->second.begin(), it->second.end(), [now](Timestamp sentAt) { return now - sentAt < Window; });
    return limit - std::min(limit, static_cast<std::size_t>(recent));
}

void RequestLimiter::recordRequest(const std::string &endpoint, Timestamp now)
{
    removeExpired(now);
    m_sentAt[endpoint].push_back(now);
}

std::size_t RequestLimiter::limitPerWindow(const ServiceSpec &service, bool isWarmingUp) const
{
    if (m_share <= 0) {
        return 0;
    }
    const double rate = service.warmupRequestsPerSecond;
    const double ownPart = std::floor((rate * m_tolerance.rateFactor + m_tolerance.extraRequests) * m_share);
    return static_cast<std::size_t>(std::max(1.0, isWarmingUp ? std::min(ownPart, std::floor(rate)) : ownPart));
}

void RequestLimiter::removeExpired(Timestamp now)
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
