#pragma once

#include "base/timestamp.h"
#include "catalog/endpointrecord.h"
#include "catalog/serviceconfiguration.h"
#include "forwarding/announcedlimits.h"

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

/// Answers how many requests an endpoint may still get from this process. There are two limits:
/// - the warm-up rate of its service. An endpoint that warms up crashes when it gets more, and its registry entry says so only a
///   heartbeat later. So no endpoint of such a service gets more in a second than one that warms up may get at most, and one whose entry
///   says that it warms up gets no more than the warm-up rate;
/// - the limit that the endpoint itself names in its responses. It is the sum over all processes, so only the leader spends it, for its
///   own requests and for those that it grants to gateways.
class RequestLimiter
{
public:
    /// share: see setShare().
    explicit RequestLimiter(WarmupTolerance tolerance = {}, double share = 1);

    /// Sets the fraction of the requests that all processes together may send which this process may use or grant, from 0 to 1. A share
    /// above zero allows at least one request.
    void setShare(double share)
    {
        m_share = share;
    }

    /// Number of requests that the leader may send to the endpoint now; the smaller one of both limits.
    std::size_t requestsLeft(const EndpointRecord &endpoint, const ServiceSpec &service, Timestamp now) const;

    /// Number of requests that the warm-up rate allows this process now. Unlimited for a service without a warm-up rate.
    std::size_t warmupRequestsLeft(const EndpointRecord &endpoint, const ServiceSpec &service, Timestamp now) const;

    /// Number of requests that the limit named by the endpoint allows now. Unlimited if it names none.
    std::size_t announcedRequestsLeft(const EndpointRecord &endpoint, Timestamp now) const;

    /// Earliest time at which announcedRequestsLeft() allows a request. Assumes the whole limit while the share is zero, which it is only
    /// for a moment.
    Timestamp nextAnnouncedRequestAt(const EndpointRecord &endpoint, Timestamp now) const;

    void recordRequest(const EndpointRecord &endpoint, Timestamp now);

    AnnouncedLimits &announcedLimits()
    {
        return m_announcedLimits;
    }
    const AnnouncedLimits &announcedLimits() const
    {
        return m_announcedLimits;
    }

    /// Length of the sliding window. Requests that are handed to a new connection leave up to 300 ms later, so the window is that much
    /// longer than the second that the limit is about.
    static constexpr Milliseconds Window{1300};
    static constexpr std::size_t Unlimited = static_cast<std::size_t>(-1);

    /// Rate of requests to an endpoint whose limit is lower, in requests per second. Only a response shows that a limit is over, so even
    /// a limit of zero lets one request pass now and then.
    static constexpr double MinRate = 0.25;
    /// Factor by which the rate grows in a second after a response has named no limit, until the limit ends or is named again. An
    /// endpoint that recovers is not hit by all requests at once.
    static constexpr double RecoveryGrowth = 4;
    /// Requests that a limit allows at once beyond those of one second.
    static constexpr double ExtraBurst = 2;

private:
    /// Tokens of the limit that an endpoint names: they fill up at its rate, and each request takes one.
    struct TokenState {
        double tokens = 0;
        Timestamp updatedAt;
    };

    /// Rate at which the tokens of a limit fill up, in tokens per second.
    double tokenRate(const AnnouncedLimit &limit, Timestamp now) const;
    /// Most tokens of a limit.
    double tokenCapacity(const AnnouncedLimit &limit, Timestamp now) const;
    /// Tokens at the given time; may be negative after requests that were sent before the limit was known.
    double tokensOf(const std::string &endpoint, const AnnouncedLimit &limit, Timestamp now) const;
    std::size_t limitPerWindow(const ServiceSpec &service, bool isWarmingUp) const;
    void removeExpired(Timestamp now);

    WarmupTolerance m_tolerance;
    double m_share;
    /// Times of the requests in the window, by endpoint. Entries of endpoints that are gone are kept for the window, because an entry of
    /// the registry may disappear and come back while its endpoint runs on.
    std::map<std::string, std::deque<Timestamp>> m_sentAt;
    Timestamp m_expiredRemovedAt;
    AnnouncedLimits m_announcedLimits;
    std::map<std::string, TokenState> m_tokens;
};

}
