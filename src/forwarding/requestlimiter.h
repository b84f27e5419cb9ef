#pragma once

#include "base/timestamp.h"
#include "catalog/endpointrecord.h"
#include "catalog/serviceconfiguration.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace Basilbend
{

/// How far the requests that reach an endpoint in any second may exceed the warm-up rate of its service.
struct WarmupTolerance {
    double rateFactor = 1;
    /// Requests beyond the multiplied rate.
    double extraRequests = 0;
};

inline bool operator==(const WarmupTolerance &a, const WarmupTolerance &b)
{
    return a.rateFactor == b.rateFactor && a.extraRequests == b.extraRequests;
}

/// Limits the rate at which this process sends requests to each endpoint of a service that has a warm-up rate. An endpoint that
/// warms up crashes when it gets more, and its registry entry says so only a heartbeat later. So no endpoint of such a service gets
/// more in a second than one that warms up may get at most, and one whose entry says that it warms up gets no more than the warm-up
/// rate.
class RequestLimiter
{
public:
    /// share: see setShare().
    explicit RequestLimiter(WarmupTolerance tolerance = {}, double share = 1);

    /// Sets the fraction of the requests that all processes together may send which this process may use, from 0 to 1. A share above
    /// zero allows at least one request.
    void setShare(double share)
    {
        m_share = share;
    }

    /// Number of requests that this process may send to the endpoint now. Unlimited for a service without a warm-up rate.
    std::size_t requestsLeft(const EndpointRecord &endpoint, const ServiceSpec &service, Timestamp now) const;

    void recordRequest(const std::string &endpoint, Timestamp now);

    /// Length of the sliding window. Requests that are handed to a new connection leave up to 300 ms later, so the window is that much
    /// longer than the second that the limit is about.
    static constexpr Milliseconds Window{1300};
    static constexpr std::size_t Unlimited = static_cast<std::size_t>(-1);

private:
    std::size_t limitPerWindow(const ServiceSpec &service, bool isWarmingUp) const;
    void removeExpired(Timestamp now);

    WarmupTolerance m_tolerance;
    double m_share;
    /// Times of the requests in the window, by endpoint. Entries of endpoints that are gone are kept for the window, because an entry of
    /// the registry may disappear and come back while its endpoint runs on.
    std::map<std::string, std::deque<Timestamp>> m_sentAt;
    Timestamp m_expiredRemovedAt;
};

}
