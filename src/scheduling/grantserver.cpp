#include "scheduling/grantserver.h"

#include "scheduling/resultserver.h"

#include <algorithm>
#include <iterator>

namespace Basilbend
{

namespace
{

/// Endpoint record with the properties that the limiter needs.
EndpointRecord recordOf(const GrantCandidate &candidate)
{
    EndpointRecord record;
    record.id = candidate.endpoint.id;
    record.startedAtMs = candidate.endpoint.startedAtMs;
    return record;
}

}

GrantServer::GrantServer(EventLoop loop, Metrics &metrics, RequestLimiter &limiter, GrantServerHooks hooks)
    : m_loop(std::move(loop))
    , m_metrics(metrics)
    , m_limiter(limiter)
    , m_hooks(std::move(hooks))
{
}

void GrantServer::serve(const std::shared_ptr<ServerExchange> &exchange)
{
    if (!m_hooks.mayGrant()) {
        exchange->respond({ResultServer::NotLeadingStatus, {}, {}});
        return;
    }
    const auto request = decodeGrantRequest(exchange->request().body);
    if (!request) {
        exchange->respond({400, {{"Content-Type", "text/plain"}}, request.error().message});
        return;
    }
    exchange->respond({200, {{"Content-Type", "application/json"}}, encodeGrantReply(decide(request.value()))});
}

GrantReply GrantServer::decide(const GrantRequest &request)
{
    const auto now = m_loop.now();
    learn(request, now);
    m_limiter.setShare(m_hooks.sendShare());
    GrantReply reply;
    for (const auto &candidate : request.candidates) {
        const auto record = recordOf(candidate);
        if (!m_limiter.announcedLimits().limitOf(record)) {
            reply.unlimited.push_back(record.id);
        } else if (reply.granted.empty() && m_limiter.announcedRequestsLeft(record, now) > 0) {
            m_limiter.recordRequest(record, now);
            reply.granted = record.id;
        }
    }
    const bool isDenied = reply.granted.empty() && reply.unlimited.empty() && !request.candidates.empty();
    reply.retryAfter = isDenied ? promise(request, now) : Milliseconds(0);
    m_metrics.count("basilbend_request_grants_total", {{"outcome", isDenied ? "denied" : "granted"}});
    return reply;
}

void GrantServer::learn(const GrantRequest &request, Timestamp now)
{
    auto &limits = m_limiter.announcedLimits();
    for (const auto &candidate : request.candidates) {
        limits.adopt(candidate.endpoint.id, {candidate.requestsPerSecond, now - candidate.age, candidate.endpoint.startedAtMs});
    }
    for (const auto &candidate : request.unnamed) {
        limits.recordUnnamed(candidate.endpoint.id, now - candidate.age);
    }
}

Milliseconds GrantServer::promise(const GrantRequest &request, Timestamp now)
{
    removeOldPromises(now);
    std::string soonest;
    auto soonestAt = now + MaxRetryAfter;
    for (const auto &candidate : request.candidates) {
        const auto record = recordOf(candidate);
        const auto limit = m_limiter.announcedLimits().limitOf(record);
        const Milliseconds interval(static_cast<std::int64_t>(1000 / std::max(limit ? limit->requestsPerSecond : 0, RequestLimiter::MinRate)));
        const auto promised = m_promisedAt.find(record.id);
        const auto nextAt = m_limiter.nextAnnouncedRequestAt(record, now);
        const auto at = promised == m_promisedAt.end() ? nextAt : std::max(nextAt, promised->second + interval);
        if (at < soonestAt) {
            soonest = record.id;
            soonestAt = at;
        }
    }
    if (!soonest.empty()) {
        m_promisedAt[soonest] = soonestAt;
    }
    return soonestAt - now;
}

void GrantServer::removeOldPromises(Timestamp now)
{
    for (auto it = m_promisedAt.begin(); it != m_promisedAt.end();) {
        it = now - it->second >= MaxRetryAfter ? m_promisedAt.erase(it) : std::next(it);
    }
}

}
