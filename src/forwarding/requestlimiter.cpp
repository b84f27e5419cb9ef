#include "forwarding/requestlimiter.h"

#include <algorithm>
#include <cmath>

namespace Basilbend
{

namespace
{

/// Limit on the requests that a large limit allows at once or in a second, so that their number can be counted.
constexpr double MaxTokens = 1'000'000;

/// The rate that all processes together may use, in requests per second.
double wholeRate(const AnnouncedLimit &limit, Timestamp now)
{
    const double rate = std::max(limit.requestsPerSecond, RequestLimiter::MinRate);
    if (!limit.unnamedSince) {
        return rate;
    }
    const double seconds = static_cast<double>((now - *limit.unnamedSince).count()) / 1000;
    return std::min(rate * std::pow(RequestLimiter::RecoveryGrowth, seconds), MaxTokens);
}

}

RequestLimiter::RequestLimiter(WarmupTolerance tolerance, double share)
    : m_tolerance(tolerance)
    , m_share(share)
{
}

std::size_t RequestLimiter::requestsLeft(const EndpointRecord &endpoint, const ServiceSpec &service, Timestamp now) const
{
    return std::min(warmupRequestsLeft(endpoint, service, now), announcedRequestsLeft(endpoint, now));
}

std::size_t RequestLimiter::warmupRequestsLeft(const EndpointRecord &endpoint, const ServiceSpec &service, Timestamp now) const
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

std::size_t RequestLimiter::announcedRequestsLeft(const EndpointRecord &endpoint, Timestamp now) const
{
    const auto limit = m_announcedLimits.limitOf(endpoint);
    if (!limit) {
        return Unlimited;
    }
    return static_cast<std::size_t>(std::clamp(tokensOf(endpoint.id, *limit, now), 0.0, MaxTokens));
}

Timestamp RequestLimiter::nextAnnouncedRequestAt(const EndpointRecord &endpoint, Timestamp now) const
{
    const auto limit = m_announcedLimits.limitOf(endpoint);
    const double missing = limit ? 1 - tokensOf(endpoint.id, *limit, now) : 0;
    if (missing <= 0) {
        return now;
    }
    const double rate = m_share > 0 ? tokenRate(*limit, now) : wholeRate(*limit, now);
    return now + Milliseconds(static_cast<std::int64_t>(std::ceil(1000 * missing / rate)));
}

double RequestLimiter::tokenRate(const AnnouncedLimit &limit, Timestamp now) const
{
    return wholeRate(limit, now) * m_share;
}

double RequestLimiter::tokenCapacity(const AnnouncedLimit &limit, Timestamp now) const
{
    return m_share > 0 ? std::max(1.0, (wholeRate(limit, now) + ExtraBurst) * m_share) : 0;
}

double RequestLimiter::tokensOf(const std::string &endpoint, const AnnouncedLimit &limit, Timestamp now) const
{
    const double capacity = tokenCapacity(limit, now);
    const auto it = m_tokens.find(endpoint);
    if (it == m_tokens.end()) {
        return capacity;
    }
    const double seconds = static_cast<double>((now - it->second.updatedAt).count()) / 1000;
    return std::min(capacity, it->second.tokens + seconds * tokenRate(limit, now));
}

void RequestLimiter::recordRequest(const EndpointRecord &endpoint, Timestamp now)
{
    removeExpired(now);
    m_sentAt[endpoint.id].push_back(now);
    if (const auto limit = m_announcedLimits.limitOf(endpoint)) {
        m_tokens[endpoint.id] = {tokensOf(endpoint.id, *limit, now) - 1, now};
    } else if (!m_tokens.empty()) {
        m_tokens.erase(endpoint.id);
    }
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
