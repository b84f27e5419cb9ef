#include "gateway/attemptrecorder.h"

#include <utility>

namespace Basilbend
{

namespace
{

/// Status of an endpoint's response to a request that exceeded its time limit.
constexpr int EndpointTimeoutStatus = 504;

}

AttemptRecorder::AttemptRecorder(GatewayContext &context, std::string requestId)
    : m_context(context)
    , m_requestId(std::move(requestId))
{
}

void AttemptRecorder::recordHead(const LiveAttempt &attempt)
{
    if (attempt.responseFields.isLeaving) {
        m_context.view.markEndpointLeaving(attempt.endpoint.id, attempt.endpoint.startedAtMs);
    }
    recordRate(attempt);
    if (attempt.responseFields.load) {
        m_context.picker.recordQueueLength(attempt.endpoint.id, attempt.responseFields.load->waiting, m_context.loop.now());
    }
}

void AttemptRecorder::recordRate(const LiveAttempt &attempt)
{
    if (!attempt.responseFields.rate) {
        return;
    }
    auto &limits = m_context.requestLimiter.announcedLimits();
    const bool wasLimited = limits.limitOf(attempt.endpoint).has_value();
    const EndpointStart start{attempt.endpoint.id, attempt.endpoint.startedAtMs};
    limits.record(start, *attempt.responseFields.rate, attempt.sentAt, m_context.loop.now());
    const bool isLimited = limits.limitOf(attempt.endpoint).has_value();
    if (wasLimited != isLimited) {
        m_context.log.info(
            "endpoint_limit_changed",
            {{"endpoint", attempt.endpoint.id}, {"limited", isLimited}, {"requests_per_second", attempt.responseFields.rate->requestsPerSecond}});
    }
    if (wasLimited && attempt.responseFields.rate->kind == RateStatement::Kind::Unlimited) {
        m_context.grants.reportUnnamed(start, attempt.sentAt);
    }
}

void AttemptRecorder::recordOutcome(const LiveAttempt &attempt, CallOutcome end, ForwardOutcome outcome)
{
    const auto now = m_context.loop.now();
    const auto &id = attempt.endpoint.id;
    if (outcome == ForwardOutcome::FinalResponse) {
        m_context.picker.recordLatency(id, now - attempt.sentAt, now);
    } else if (end == CallOutcome::Complete && outcome == ForwardOutcome::NotRun && attempt.responseFields.status != 421) {
        m_context.picker.recordFull(id, now);
    } else if (end == CallOutcome::Complete && attempt.responseFields.status == EndpointTimeoutStatus) {
        m_context.picker.recordTimeout(id, now);
    } else {
        m_context.picker.recordFailure(id, now);
    }
    if (outcome != ForwardOutcome::FinalResponse) {
        logFailure(attempt, end);
    }
}

void AttemptRecorder::logFailure(const LiveAttempt &attempt, CallOutcome end)
{
    m_context.log.warning("try_failed",
                          {{"request", m_requestId},
                           {"endpoint", attempt.endpoint.id},
                           {"end", callOutcomeName(end)},
                           {"status", attempt.responseFields.status},
                           {"not_executed", attempt.responseFields.notExecuted},
                           {"after_ms", m_context.loop.now() - attempt.sentAt}});
}

}
