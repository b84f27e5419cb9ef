#pragma once

#include "base/eventloop.h"
#include "forwarding/requestgrant.h"
#include "forwarding/requestlimiter.h"
#include "http/serverexchange.h"
#include "net/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Basilbend
{

struct GrantServerHooks {
    /// Whether this process leads.
    std::function<bool()> mayGrant;
    /// Fraction of what the limits allow that this process may grant; see SendShareRule.
    std::function<double()> sendShare;
};

/// Grants gateways requests to endpoints that name a limit, as part of the leader. The leader's own requests spend the same limits.
class GrantServer
{
public:
    GrantServer(EventLoop loop, Metrics &metrics, RequestLimiter &limiter, GrantServerHooks hooks);

    /// Responds with a GrantReply (200), 400 to a request that can't be read, or ResultServer::NotLeadingStatus.
    void serve(const std::shared_ptr<ServerExchange> &exchange);

    /// Decides on a request. A denial names a time after which an endpoint can take a further request; those of several denials are as
    /// far apart as the limits demand, so that the clients do not all come back at the same time.
    GrantReply decide(const GrantRequest &request);

    static constexpr const char *Path = "/requestgrants";
    /// Limit of the time that a denial names.
    static constexpr Milliseconds MaxRetryAfter{5000};

private:
    void learn(const GrantRequest &request, Timestamp now);
    /// Time until the next request that one of the candidates can take and that was not named in another denial.
    Milliseconds promise(const GrantRequest &request, Timestamp now);
    void removeOldPromises(Timestamp now);

    EventLoop m_loop;
    Metrics &m_metrics;
    RequestLimiter &m_limiter;
    GrantServerHooks m_hooks;
    /// Time of the last request that was promised for an endpoint by a denial.
    std::map<std::string, Timestamp> m_promisedAt;
};

}
