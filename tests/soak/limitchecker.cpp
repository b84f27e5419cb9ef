#include "soak/limitchecker.h"

#include <utility>

namespace Basilbend
{

LimitChecker::LimitChecker(NowFunction now, Report report)
    : m_now(std::move(now))
    , m_report(std::move(report))
{
}

void LimitChecker::recordGateway(const std::string &attempt, const std::string &gateway)
{
    m_gatewayOfAttempt[attempt] = gateway;
}

void LimitChecker::recordLimit(const std::string &endpoint, const std::string &attempt, double requestsPerSecond)
{
    auto &limit = m_limits[endpoint];
    if (limit.requestsPerSecond == 0) {
        limit.firstNamedAt = m_now();
    }
    limit.requestsPerSecond = requestsPerSecond;
    const auto gateway = m_gatewayOfAttempt.find(attempt);
    if (gateway != m_gatewayOfAttempt.end()) {
        limit.namedTo.emplace(gateway->second, m_now());
    }
}

void LimitChecker::recordNoLimit(const std::string &endpoint)
{
    m_limits.erase(endpoint);
}

void LimitChecker::recordArrival(const std::string &endpoint, const std::string &attempt, Timestamp linkHealedAt)
{
    const auto it = m_limits.find(endpoint);
    const auto gateway = m_gatewayOfAttempt.find(attempt);
    if (it == m_limits.end() || gateway == m_gatewayOfAttempt.end()) {
        return;
    }
    auto &limit = it->second;
    const auto now = m_now();
    if (now - linkHealedAt < HeldRequestGrace) {
        limit.arrivals.clear();
        return;
    }
    const auto namedTo = limit.namedTo.find(gateway->second);
    const bool knowsLimit = namedTo != limit.namedTo.end() && now - namedTo->second >= GatewayNoticeTime;
    if (!knowsLimit || now - limit.firstNamedAt < NoticeTime) {
        return;
    }
    ++m_checkedCount;
    limit.arrivals.push_back(now);
    while (now - limit.arrivals.front() >= Window) {
        limit.arrivals.pop_front();
    }
    const double seconds = static_cast<double>(Window.count()) / 1000;
    if (static_cast<double>(limit.arrivals.size()) > limit.requestsPerSecond * seconds * RateFactor + ExtraRequests) {
        m_report(endpoint + " with a limit of " + std::to_string(limit.requestsPerSecond) + " requests a second got " + std::to_string(limit.arrivals.size())
                 + " in " + std::to_string(Window.count()) + " ms");
    }
}

void LimitChecker::recordProcessFault(const std::string &gateway)
{
    for (auto &[endpoint, limit] : m_limits) {
        limit.namedTo.erase(gateway);
    }
}

}
