#pragma once

#include "base/timestamp.h"
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

/// Limits the rate at which this process sends requests to each endpoint of a service that has a warm-up rate. An endpoint that has
/// just started crashes when it gets more, and its registry entry says so only a heartbeat later. So the limit applies to every
/// endpoint of such a service, also to one that is not known to be warming up. Each process keeps to an equal part of what all
/// processes that may send at the same time may send together.
class WarmupLimiter
{
public:
    /// senders: number of processes that may send requests to the same endpoint within one second; at least 1.
    explicit WarmupLimiter(WarmupTolerance tolerance = {}, int senders = 1);

    /// Number of requests that this process may send to the endpoint now. Unlimited for a service without a warm-up rate.
    std::size_t requestsLeft(const std::string &endpoint, const ServiceSpec &service, Timestamp now) const;

    void recordRequest(const std::string &endpoint, Timestamp now);

    /// Length of the sliding window. Requests that are handed to a new connection leave up to 300 ms later, so the window is that much
    /// longer than the second that the limit is about.
    static constexpr Milliseconds Window{1300};
    static constexpr std::size_t Unlimited = static_cast<std::size_t>(-1);

private:
    std::size_t limitPerWindow(const ServiceSpec &service) const;
    void removeExpired(Timestamp now);

    WarmupTolerance m_tolerance;
    int m_senders;
    /// Times of the requests in the window, by endpoint. Entries of endpoints that are gone are kept for the window, because an entry of
    /// the registry may disappear and come back while its endpoint runs on.
    std::map<std::string, std::deque<Timestamp>> m_sentAt;
    Timestamp m_expiredRemovedAt;
};

}
