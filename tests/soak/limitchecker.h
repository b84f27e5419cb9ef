#pragma once

#include "base/timestamp.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace Basilbend
{

/// Checks that the gateways together keep to the limits that endpoints name in their responses. A gateway counts from shortly after it
/// has passed on a response that names the limit. After a kill, a pause or a stop it counts from the next such response on.
class LimitChecker
{
public:
    using Report = std::function<void(const std::string &violation)>;

    /// Requests in a window may exceed what the limit allows by this factor and by ExtraRequests.
    static constexpr double RateFactor = 1.5;
    static constexpr double ExtraRequests = 5;
    static constexpr Milliseconds Window{4000};
    /// Time from the first response that names a limit until the limit binds.
    static constexpr Milliseconds NoticeTime{3000};
    /// Time from the response that tells a gateway of the limit until the gateway counts.
    static constexpr Milliseconds GatewayNoticeTime{500};
    /// For this long after a link has healed, requests that it held back arrive together.
    static constexpr Milliseconds HeldRequestGrace{1500};

    LimitChecker(NowFunction now, Report report);

    /// Records which gateway a request was sent to.
    void recordGateway(const std::string &attempt, const std::string &gateway);
    /// Records that an endpoint answers a request with its limit, in requests per second.
    void recordLimit(const std::string &endpoint, const std::string &attempt, double requestsPerSecond);
    /// Records that an endpoint answers a request without a limit.
    void recordNoLimit(const std::string &endpoint);
    /// Checks a request that reaches an endpoint. linkHealedAt: end of the last fault of the endpoint's link.
    void recordArrival(const std::string &endpoint, const std::string &attempt, Timestamp linkHealedAt);
    /// Records that a gateway was killed, paused, continued or stopped.
    void recordProcessFault(const std::string &gateway);

    /// Number of requests that were checked against a limit.
    std::size_t checkedCount() const
    {
        return m_checkedCount;
    }

private:
    struct NamedLimit {
        double requestsPerSecond = 0;
        Timestamp firstNamedAt;
        /// Time of the first response with the limit that each gateway has passed on.
        std::map<std::string, Timestamp> namedTo;
        /// Arrivals in the window.
        std::deque<Timestamp> arrivals;
    };

    NowFunction m_now;
    Report m_report;
    std::map<std::string, std::string> m_gatewayOfAttempt;
    std::map<std::string, NamedLimit> m_limits;
    std::size_t m_checkedCount = 0;
};

}
