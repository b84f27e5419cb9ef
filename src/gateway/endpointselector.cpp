#include "gateway/endpointselector.h"

#include "forwarding/warmupchoice.h"

namespace Basilbend
{

namespace
{

/// Delay before endpoints that reported being full are tried again.
constexpr Milliseconds CapacityRetryDelay{20};
/// Retry-After of a rejection while no endpoint of the service is ready.
constexpr Milliseconds NoEndpointRetryAfter{300};
/// Retry-After of a rejection when the leader that grants requests to limited endpoints does not respond.
constexpr Milliseconds NoGrantRetryAfter{500};
/// Age at which limits are forgotten while no leader grants requests: without a request nothing shows that a limit is over.
constexpr Milliseconds MaxUngrantedLimitAge{10000};
/// Part of the latency target for which a request waits for an endpoint that is full.
constexpr int CapacityWaitDivisor = 5;

}

EndpointSelector::EndpointSelector(GatewayContext &context,
                                   const RouteRule &route,
                                   const std::string &workspace,
                                   CrashGuard &crashGuard,
                                   StreamVersion &streamVersion,
                                   EndpointSelectorHooks hooks)
    : m_context(context)
    , m_route(route)
    , m_workspace(workspace)
    , m_crashGuard(crashGuard)
    , m_streamVersion(streamVersion)
    , m_hooks(std::move(hooks))
    , m_startedAt(context.loop.now())
{
}

void EndpointSelector::select()
{
    if (m_isWaitingForGrant || m_hooks.isSettled()) {
        return;
    }
    const auto standing = m_crashGuard.standing();
    if (standing.kind == RequestStanding::Kind::Quarantined) {
        rejectSuspect(standing.quarantinedFor);
        return;
    }
    if (standing.kind == RequestStanding::Kind::Suspected) {
        // Limited endpoints are used like by other requests: their grant names one endpoint, so the run can't be isolated.
        const auto unlimited = candidates().unlimited;
        if (!unlimited.empty()) {
            selectForTrial(unlimited);
            return;
        }
    }
    selectRegular();
}

void EndpointSelector::selectRegular()
{
    const auto now = m_context.loop.now();
    const auto all = candidates();
    auto unreserved = all;
    unreserved.unlimited = m_context.crashes.trials().avoidReserved(all.unlimited, now);
    const AttemptState state{m_excludedEndpoints, m_grantDenial.has_value()};
    auto &limits = m_context.requestLimiter.announcedLimits();
    auto choice = chooseAttempt(unreserved, state, m_context.picker, limits, now);
    if (choice.step == AttemptChoice::Step::WaitForCapacity) {
        choice = chooseAttempt(all, state, m_context.picker, limits, now);
    }
    switch (choice.step) {
    case AttemptChoice::Step::NoEndpoint:
        rejectWithoutEndpoint();
        break;
    case AttemptChoice::Step::Send:
        m_hooks.onSelected(*choice.endpoint, false);
        break;
    case AttemptChoice::Step::AskForGrant:
        askForGrant(choice.grantCandidates);
        break;
    case AttemptChoice::Step::RejectLimited:
        rejectLimited(*m_grantDenial);
        break;
    case AttemptChoice::Step::WaitForCapacity:
        // Endpoints that rejected the request may have free capacity after a delay.
        waitForCapacity();
        break;
    }
}

void EndpointSelector::selectForTrial(const std::vector<const EndpointRecord *> &endpoints)
{
    const auto choice = m_crashGuard.chooseTrial(endpoints, m_excludedEndpoints);
    switch (choice.step) {
    case TrialChoice::Step::Send:
        m_hooks.onSelected(*choice.endpoint, choice.isIsolated);
        break;
    case TrialChoice::Step::Wait:
        waitForTrial();
        break;
    case TrialChoice::Step::Reject:
        rejectSuspect(choice.retryAfter);
        break;
    }
}

const EndpointRecord *EndpointSelector::selectForHedge() const
{
    const auto now = m_context.loop.now();
    const auto endpoints = m_context.crashes.trials().avoidReserved(candidates().unlimited, now);
    return m_context.picker.pick(endpoints, m_excludedEndpoints, now);
}

void EndpointSelector::recordSent(const std::string &endpoint)
{
    m_excludedEndpoints.insert(endpoint);
    m_grantDenial.reset();
}

AttemptCandidates EndpointSelector::candidates() const
{
    const auto ready = m_streamVersion.allowed(m_context.view.usableEndpoints(m_service, m_route, m_workspace));
    const auto *service = m_context.view.routes()->serviceNamed(m_service);
    const auto usable = service == nullptr ? ready : avoidWarmingEndpoints(ready, *service, m_context.requestLimiter, m_context.loop.now());
    return splitByLimit(usable, m_context.requestLimiter.announcedLimits());
}

void EndpointSelector::askForGrant(const std::vector<const EndpointRecord *> &endpoints)
{
    m_isWaitingForGrant = true;
    m_context.grants.ask(endpoints, m_context.requestLimiter.announcedLimits(), [this, call = m_hooks.keepAlive()](const std::optional<GrantReply> &reply) {
        m_isWaitingForGrant = false;
        acceptGrantReply(reply);
    });
}

void EndpointSelector::acceptGrantReply(const std::optional<GrantReply> &reply)
{
    if (m_hooks.isSettled()) {
        return;
    }
    if (reply && !reply->granted.empty()) {
        const auto *endpoint = m_context.view.endpoints().find(reply->granted);
        if (endpoint != nullptr && m_context.view.endpoints().mayReceiveRequests(*endpoint)) {
            m_hooks.onSelected(*endpoint, false);
            return;
        }
    }
    if (!reply) {
        m_context.requestLimiter.announcedLimits().removeOlderThan(MaxUngrantedLimitAge, m_context.loop.now());
    }
    const bool isDenied = !reply || reply->unlimited.empty();
    if (isDenied) {
        m_grantDenial = reply && reply->retryAfter.count() > 0 ? reply->retryAfter : NoGrantRetryAfter;
    }
    select();
}

void EndpointSelector::waitForCapacity()
{
    const auto attempts = m_hooks.attempts();
    if (attempts.inProgress > 0 || m_isWaitingForCapacity) {
        return;
    }
    const auto waited = m_context.loop.now() - m_startedAt;
    if (attempts.executed == 0 && waited >= m_route.latencyTarget / CapacityWaitDivisor) {
        m_hooks.onRejected({503, ResultCode::Overloaded, "all endpoints of the service are full", m_route.latencyTarget / 2});
        return;
    }
    m_isWaitingForCapacity = true;
    m_context.loop.runAfter(CapacityRetryDelay, [this, call = m_hooks.keepAlive()] {
        m_isWaitingForCapacity = false;
        m_excludedEndpoints.clear();
        select();
    });
}

void EndpointSelector::waitForTrial()
{
    if (m_isWaitingForCapacity) {
        return;
    }
    m_isWaitingForCapacity = true;
    m_context.loop.runAfter(CapacityRetryDelay, [this, call = m_hooks.keepAlive()] {
        m_isWaitingForCapacity = false;
        select();
    });
}

void EndpointSelector::rejectWithoutEndpoint()
{
    const auto attempts = m_hooks.attempts();
    if (attempts.executed == 0 && m_streamVersion.isFixed()) {
        m_hooks.onRejected(rejectUnresumable(attempts, "no endpoint of the software version that began the stream is ready"));
    } else if (attempts.executed == 0) {
        m_hooks.onRejected({503, ResultCode::NoEndpoint, "no endpoint of the service is ready", NoEndpointRetryAfter});
    } else if (attempts.inProgress == 0) {
        m_hooks.onRejected({502, ResultCode::EndpointFailed, "the endpoint failed and no other is ready", Milliseconds(0)});
    }
}

void EndpointSelector::rejectLimited(Milliseconds retryAfter)
{
    const auto attempts = m_hooks.attempts();
    if (attempts.inProgress > 0) {
        return;
    }
    if (attempts.executed == 0) {
        m_hooks.onRejected({503, ResultCode::RateLimited, "the endpoints of the service take no more requests now", retryAfter});
    } else {
        m_hooks.onRejected({502, ResultCode::EndpointFailed, "the endpoint failed and the others take no more requests now", Milliseconds(0)});
    }
}

void EndpointSelector::rejectSuspect(Milliseconds retryAfter)
{
    const auto attempts = m_hooks.attempts();
    if (attempts.inProgress > 0) {
        return;
    }
    m_context.metrics.count("basilbend_suspects_rejected_total");
    if (attempts.executed == 0) {
        m_hooks.onRejected({503, ResultCode::Quarantined, "endpoints crashed while they ran this request", retryAfter});
    } else {
        m_hooks.onRejected({502, ResultCode::EndpointFailed, "the endpoint crashed while it ran the request", Milliseconds(0)});
    }
}

}
