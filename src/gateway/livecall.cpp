#include "gateway/livecall.h"

#include "forwarding/answerend.h"
#include "forwarding/servicechoice.h"
#include "gateway/rejection.h"
#include "http/socketoptions.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr Milliseconds ConnectTimeout{250};
/// Time limit of requests whose client sets none, if the route's limit is longer.
constexpr Milliseconds DefaultDeadline{10000};
/// Time without a new event after which a resumable stream is resumed at another endpoint; bytes that complete no event don't count
/// as progress. Clients abandon a stream after a gap of two seconds.
constexpr Milliseconds StreamStallTimeout{1000};
constexpr Milliseconds StallCheckInterval{100};

}

LiveCall::LiveCall(GatewayContext &context, std::shared_ptr<ServerExchange> exchange, ClientRequest request, RouteRule route, std::string workspace)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_route(std::move(route))
    , m_workspace(std::move(workspace))
    , m_crashGuard(context, m_exchange->request(), m_workspace, m_route.latencyTarget)
    , m_streamVersion(context, m_route, m_request, m_workspace)
    , m_selector(context, m_route, m_workspace, m_crashGuard, m_streamVersion, selectorHooks())
    , m_recorder(context, m_request.attemptId)
    , m_arrivedAt(context.loop.now())
    , m_stream(*m_exchange, context.answerBudget, streamHooks())
{
    m_deadline = m_arrivedAt + timeLimit(m_route, m_request);
}

LiveCall::~LiveCall()
{
    m_context.answerBudget.release(m_bufferedBytes);
}

Milliseconds LiveCall::timeLimit(const RouteRule &route, const ClientRequest &request)
{
    return std::min(route.timeout, request.deadline.value_or(DefaultDeadline));
}

bool LiveCall::isStreamingRoute() const
{
    return m_route.kind == RouteKind::Streaming;
}

Milliseconds LiveCall::timeLeft() const
{
    return m_deadline - m_context.loop.now();
}

int LiveCall::attemptsInProgress() const
{
    return static_cast<int>(
        std::count_if(m_attempts.begin(), m_attempts.end(), [](const auto &attempt) { return !attempt->ended || attempt->isBeingChecked; }));
}

AttemptCounts LiveCall::counts() const
{
    return {m_executedAttempts, attemptsInProgress()};
}

void LiveCall::start()
{
    m_service = chooseService(m_route, m_context.random);
    m_exchange->onClientDisconnected = [self = weak_from_this()] {
        if (const auto call = self.lock()) {
            call->finish("client_left", 0);
        }
    };
    // The attempts keep the call alive. A timer holds only a weak reference, so that it does not keep the body of a finished call.
    m_context.loop.runAfter(std::max(timeLeft(), Milliseconds(1)), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onTimeout();
        }
    });
    m_selector.setService(m_service);
    m_streamVersion.setService(m_service);
    if (!m_streamVersion.mustFind()) {
        m_selector.select();
        return;
    }
    m_streamVersion.find([self = shared_from_this()](bool isFound) {
        if (isFound) {
            self->m_selector.select();
        } else {
            self->reject(rejectUnresumable(self->counts(), "the software version that began the stream is unknown"));
        }
    });
}

void LiveCall::prepareStream(const EndpointRecord &endpoint, bool isIsolated)
{
    m_isPreparingStream = true;
    m_streamVersion.prepare(endpoint, [self = shared_from_this(), endpoint, isIsolated](OriginRecording recording) {
        self->m_isPreparingStream = false;
        self->acceptRecording(endpoint, isIsolated, recording);
    });
}

void LiveCall::acceptRecording(const EndpointRecord &endpoint, bool isIsolated, OriginRecording recording)
{
    if (m_isFinished) {
        return;
    }
    if (recording == OriginRecording::Unknown) {
        // A record that is stored late would name this version for a stream of another one.
        reject(rejectUnresumable(counts(), "the metadata store did not confirm the software version of the stream"));
        return;
    }
    if (recording == OriginRecording::NotRecorded && !m_streamVersion.mayBeginUnrecorded(endpoint)) {
        if (m_streamVersion.restrictToRecorded()) {
            m_selector.select();
        } else {
            reject(rejectUnresumable(counts(), "the metadata store refused the record of the stream's software version"));
        }
        return;
    }
    const auto *current = m_context.view.endpoints().find(endpoint.id);
    const bool isUnchanged = current != nullptr && current->startedAtMs == endpoint.startedAtMs && current->softwareVersion == endpoint.softwareVersion;
    if (isUnchanged && m_context.view.endpoints().mayReceiveRequests(*current)) {
        dispatch(*current, isIsolated);
    } else {
        m_selector.select();
    }
}

void LiveCall::send(const EndpointRecord &endpoint, bool isIsolated)
{
    if (m_streamVersion.mustPrepare(endpoint)) {
        prepareStream(endpoint, isIsolated);
    } else {
        dispatch(endpoint, isIsolated);
    }
}

void LiveCall::dispatch(const EndpointRecord &endpoint, bool isIsolated)
{
    auto message = makeForwardedRequest(m_exchange->request(), endpoint.id, m_workspace, timeLeft());
    if (m_stream.lastEventId() > 0) {
        setResumePosition(message, m_stream.lastEventId());
    }
    const auto index = m_attempts.size();
    m_attempts.push_back(std::make_unique<LiveAttempt>());
    auto &attempt = *m_attempts.back();
    attempt.endpoint = endpoint;
    attempt.sentAt = m_context.loop.now();
    if (m_crashGuard.standing().kind != RequestStanding::Kind::Unsuspected) {
        attempt.run = isIsolated ? CrashedRun::IsolatedTrial : CrashedRun::SharedTrial;
    }
    m_selector.recordSent(endpoint.id);
    m_context.picker.recordSent(endpoint.id);
    m_context.requestLimiter.recordRequest(endpoint, attempt.sentAt);
    m_context.log.info("request_sent",
                       {{"request", m_request.attemptId},
                        {"endpoint", endpoint.id},
                        {"try", index + 1},
                        {"run", crashedRunName(attempt.run)},
                        {"in_flight", m_context.picker.inFlight(endpoint.id)},
                        {"left_ms", timeLeft()}});
    attempt.call = m_context.client.sendAgain(parseSocketEndpoint(endpoint.address), message, makeHooks(index), ConnectTimeout, m_connections);
    scheduleHedge();
}

CallHooks LiveCall::makeHooks(std::size_t index)
{
    const auto self = shared_from_this();
    CallHooks hooks;
    hooks.matchResponse = [self](const ResponseHead &head) { return matchAttemptResponse(head, self->m_request.attemptId); };
    hooks.onHead = [self, index](const ResponseHead &head) { self->handleHead(index, head); };
    hooks.onBody = [self, index](std::string_view data) { self->handleBody(index, data); };
    hooks.onEnd = [self, index](CallOutcome end) { self->handleEnd(index, end); };
    return hooks;
}

void LiveCall::scheduleHedge()
{
    const bool mayHedge = m_route.kind == RouteKind::Idempotent && static_cast<int>(m_attempts.size()) < m_route.attempts;
    if (!mayHedge) {
        return;
    }
    m_context.loop.runAfter(m_route.latencyTarget / 2, [weak = weak_from_this(), attemptCount = m_attempts.size()] {
        if (const auto self = weak.lock()) {
            self->hedge(attemptCount);
        }
    });
}

void LiveCall::hedge(std::size_t attemptCount)
{
    const bool isWaiting = !m_isFinished && m_attempts.size() == attemptCount && !m_attempts.back()->ended && !m_attempts.back()->hasHead;
    const bool isSuspect = m_crashGuard.standing().kind != RequestStanding::Kind::Unsuspected;
    if (!isWaiting || isSuspect || m_executedAttempts + attemptsInProgress() >= m_route.attempts) {
        return;
    }
    if (const auto *other = m_selector.selectForHedge()) {
        m_context.log.info("request_hedged", {{"request", m_request.attemptId}, {"slow_endpoint", m_attempts.back()->endpoint.id}});
        send(*other);
    }
}

void LiveCall::handleHead(std::size_t index, const ResponseHead &head)
{
    auto &attempt = *m_attempts[index];
    attempt.hasHead = true;
    attempt.head = head;
    attempt.responseFields = decodeResponseFields(head);
    m_recorder.recordHead(attempt);
    if (isStreamingRoute() && head.status == 200 && attempt.responseFields.isSigned() && !m_isFinished) {
        handleStreamHead(index);
    }
}

void LiveCall::handleStreamHead(std::size_t index)
{
    countUsage(m_context.loop.now());
    m_stream.attach(m_attempts[index]->head);
    if (m_route.canResume) {
        checkStreamProgress(index);
    }
}

EndpointSelectorHooks LiveCall::selectorHooks()
{
    EndpointSelectorHooks hooks;
    hooks.keepAlive = [this] { return shared_from_this(); };
    hooks.isSettled = [this] { return m_isFinished || m_isPreparingStream; };
    hooks.attempts = [this] { return counts(); };
    hooks.onSelected = [this](const EndpointRecord &endpoint, bool isIsolated) { send(endpoint, isIsolated); };
    hooks.onRejected = [this](const CallRejection &rejection) { reject(rejection); };
    return hooks;
}

LiveStreamHooks LiveCall::streamHooks()
{
    return {m_context.loop.now,
            [this] { m_streamVersion.fix(m_attempts.back()->endpoint); },
            [this] {
                m_exchange->abort();
                finish("client_too_slow", 0);
            }};
}

void LiveCall::checkStreamProgress(std::size_t index)
{
    m_context.loop.runAfter(StallCheckInterval, [weak = weak_from_this(), index] {
        const auto self = weak.lock();
        if (!self || self->m_isFinished || self->m_attempts[index]->ended) {
            return;
        }
        const bool isLastAttempt = self->m_executedAttempts + 1 >= self->m_route.attempts;
        if (isLastAttempt || self->m_context.loop.now() - self->m_stream.lastProgressAt() < StreamStallTimeout) {
            self->checkStreamProgress(index);
            return;
        }
        self->m_attempts[index]->call.cancel();
        self->m_attempts[index]->isAborted = true;
        self->handleEnd(index, CallOutcome::Broken);
    });
}

void LiveCall::handleBody(std::size_t index, std::string_view data)
{
    if (m_stream.isAttached()) {
        if (!m_stream.feed(data)) {
            abortAttempt(index, "event too large");
        }
        return;
    }
    auto &body = m_attempts[index]->body;
    if (m_context.answerBudget.reserve(body.size(), data.size())) {
        m_bufferedBytes += data.size();
        body.append(data);
    } else {
        abortAttempt(index, "answer too large");
    }
}

void LiveCall::abortAttempt(std::size_t index, const char *why)
{
    auto &attempt = *m_attempts[index];
    m_context.log.warning("answer_refused",
                          {{"request", m_request.attemptId}, {"endpoint", attempt.endpoint.id}, {"why", why}, {"bytes", attempt.body.size()}});
    attempt.call.cancel();
    attempt.isAborted = true;
    // Deferred to the event loop: this function runs inside a hook of the client call, and ending that call may release the last
    // other reference to this object.
    m_context.loop.runAfter(Milliseconds(0), [self = shared_from_this(), index] {
        if (!self->m_attempts[index]->ended) {
            self->handleEnd(index, CallOutcome::Broken);
        }
    });
}

void LiveCall::handleEnd(std::size_t index, CallOutcome end)
{
    auto &attempt = *m_attempts[index];
    attempt.ended = true;
    m_context.picker.recordEnded(attempt.endpoint.id);
    m_crashGuard.endTrial();
    switch (judgeAnswerEnd(end, m_stream.isInsideEvent(), attempt.responseFields.notExecuted)) {
    case AnswerEnd::Final:
        acceptEnd(index, end);
        break;
    case AnswerEnd::Truncated:
        acceptEnd(index, CallOutcome::Broken);
        break;
    case AnswerEnd::Unconfirmed:
        confirmEnd(index);
        break;
    }
}

void LiveCall::confirmEnd(std::size_t index)
{
    auto &attempt = *m_attempts[index];
    if (m_isFinished) {
        return;
    }
    countUsage(attempt.sentAt);
    attempt.isBeingChecked = true;
    const auto *routes = m_context.view.routes();
    const auto *service = routes == nullptr ? nullptr : routes->serviceNamed(attempt.endpoint.service);
    const auto healthPath = service == nullptr ? std::string() : service->identityPath();
    attempt.check = std::make_unique<IdentityCheck>(m_context.client, m_context.loop, attempt.endpoint, healthPath);
    attempt.check->start([self = shared_from_this(), index](bool isSame) {
        self->m_attempts[index]->isBeingChecked = false;
        self->m_context.log.info("unframed_answer_checked",
                                 {{"request", self->m_request.attemptId}, {"endpoint", self->m_attempts[index]->endpoint.id}, {"whole", isSame}});
        self->acceptEnd(index, isSame ? CallOutcome::Complete : CallOutcome::Broken);
    });
}

void LiveCall::acceptEnd(std::size_t index, CallOutcome end)
{
    auto &attempt = *m_attempts[index];
    const bool mayHaveCrashed = !attempt.isAborted && (end == CallOutcome::ClosedUnanswered || end == CallOutcome::Broken);
    if (m_isFinished || !mayHaveCrashed) {
        concludeAttempt(index, end);
        return;
    }
    countUsage(attempt.sentAt);
    attempt.isBeingChecked = true;
    m_crashGuard.checkEndpoint(attempt.endpoint, attempt.run, [self = shared_from_this(), index, end] {
        self->m_attempts[index]->isBeingChecked = false;
        self->concludeAttempt(index, end);
    });
}

void LiveCall::concludeAttempt(std::size_t index, CallOutcome end)
{
    const auto &attempt = *m_attempts[index];
    if (m_isFinished) {
        return;
    }
    if (m_stream.hasBegun()) {
        handleStreamEnd(index, end);
        return;
    }
    const auto outcome = classifyResponse(end, attempt.responseFields.status, attempt.responseFields.notExecuted, attempt.responseFields.isSigned());
    m_recorder.recordOutcome(attempt, end, outcome);
    if (outcome == ForwardOutcome::FinalResponse) {
        m_crashGuard.recordAnswer();
    }
    if (outcome != ForwardOutcome::NotRun) {
        ++m_executedAttempts;
        countUsage(attempt.sentAt);
    }
    applyRetryDecision(index, outcome);
}

void LiveCall::applyRetryDecision(std::size_t index, ForwardOutcome outcome)
{
    const RetryState state{isRepeatable(), m_route.attempts, m_executedAttempts, attemptsInProgress(), timeLeft().count() > 0};
    switch (decideRetry(outcome, state)) {
    case RetryDecision::ForwardResponse:
        forwardResponse(*m_attempts[index]);
        break;
    case RetryDecision::Retry:
        m_selector.select();
        break;
    case RetryDecision::AwaitOtherAttempt:
        break;
    case RetryDecision::RejectNotRun:
        reject({503, ResultCode::NotRun, "no endpoint ran the request", m_route.latencyTarget / 2});
        break;
    case RetryDecision::FailExecutionUnknown:
        reject({502, ResultCode::ExecutionUnknown, "the endpoint's answer is missing or incomplete", Milliseconds(0)});
        break;
    }
}

void LiveCall::handleStreamEnd(std::size_t index, CallOutcome end)
{
    // A rejection by the endpoint at which the stream should resume is also a complete response, but does not end the stream.
    const bool hadStream = m_stream.isAttached();
    if (end == CallOutcome::Complete && hadStream) {
        m_crashGuard.recordAnswer();
        m_exchange->endStream();
        finish("streamed", 200);
        return;
    }
    const auto &attempt = *m_attempts[index];
    const auto outcome = hadStream
        ? ForwardOutcome::MayHaveRun
        : classifyResponse(end, attempt.responseFields.status, attempt.responseFields.notExecuted, attempt.responseFields.isSigned());
    m_recorder.recordOutcome(attempt, end, outcome);
    m_executedAttempts += outcome == ForwardOutcome::NotRun ? 0 : 1;
    m_stream.detach();
    if (m_route.canResume && m_executedAttempts < m_route.attempts && timeLeft().count() > 0) {
        m_context.log.info("stream_resumed", {{"request", m_request.attemptId}, {"after_event", m_stream.lastEventId()}});
        m_selector.select();
        return;
    }
    m_exchange->abort();
    finish("stream_broken", 0);
}

bool LiveCall::isRepeatable() const
{
    return m_route.kind == RouteKind::Idempotent || (isStreamingRoute() && m_route.canResume);
}

void LiveCall::countUsage(Timestamp at)
{
    if (!m_isUsageCounted) {
        m_isUsageCounted = true;
        m_context.usage.countRequest(m_workspace, at);
    }
}

void LiveCall::onTimeout()
{
    if (m_isFinished) {
        return;
    }
    if (m_stream.hasBegun()) {
        m_exchange->abort();
        finish("stream_timeout", 0);
        return;
    }
    if (mayHaveRun()) {
        for (const auto &attempt : m_attempts) {
            if (!attempt->ended) {
                m_context.picker.recordTimeout(attempt->endpoint.id, m_context.loop.now());
            }
        }
        countOpenAttempts();
        reject({504, ResultCode::DeadlineExceeded, "no answer within the time limit", Milliseconds(0)});
    } else {
        reject({503, ResultCode::NotRun, "no endpoint had room within the time limit", m_route.latencyTarget});
    }
}

bool LiveCall::mayHaveRun() const
{
    return m_executedAttempts > 0 || attemptsInProgress() > 0;
}

void LiveCall::countOpenAttempts()
{
    for (const auto &attempt : m_attempts) {
        if (!attempt->ended) {
            countUsage(attempt->sentAt);
        }
    }
}

void LiveCall::endForShutdown()
{
    if (m_isFinished) {
        return;
    }
    if (m_stream.hasBegun()) {
        m_exchange->abort();
        finish("stream_cut_by_shutdown", 0);
    } else if (mayHaveRun()) {
        countOpenAttempts();
        reject({502, ResultCode::ExecutionUnknown, "the gateway stops before the endpoint's answer", Milliseconds(0)});
    } else {
        reject({503, ResultCode::Draining, "the gateway stops", Milliseconds(0)});
    }
}

void LiveCall::forwardResponse(LiveAttempt &attempt)
{
    ResponseMessage response{attempt.head.status, attempt.head.fields, std::move(attempt.body)};
    response.fields.removeHopByHop();
    m_exchange->respond(response);
    finish("answered", attempt.head.status);
}

void LiveCall::reject(const CallRejection &rejection)
{
    const auto execution = rejection.status == 503 ? Execution::NotRun : Execution::Unknown;
    if (m_stream.hasBegun()) {
        m_exchange->abort();
    } else {
        m_exchange->respond(makeRejection(rejection.status, Error{rejection.code, rejection.message, execution, rejection.retryAfter}, m_request.attemptId));
    }
    m_context.log.warning("request_failed",
                          {{"request", m_request.attemptId},
                           {"route", m_route.name},
                           {"service", m_service},
                           {"status", rejection.status},
                           {"code", static_cast<int>(rejection.code)},
                           {"tries", m_attempts.size()},
                           {"ran", m_executedAttempts},
                           {"after_ms", m_context.loop.now() - m_arrivedAt}});
    finish("rejected", rejection.status);
}

void LiveCall::finish(const char *outcome, int status)
{
    if (m_isFinished) {
        return;
    }
    m_isFinished = true;
    m_crashGuard.endTrial();
    m_streamVersion.end();
    const auto took = m_context.loop.now() - m_arrivedAt;
    for (const auto &attempt : m_attempts) {
        if (!attempt->ended) {
            attempt->ended = true;
            m_context.picker.recordEnded(attempt->endpoint.id);
            countUsage(attempt->sentAt);
            attempt->call.cancel();
        }
    }
    m_context.metrics.count("basilbend_requests_total", {{"outcome", outcome}});
    m_context.metrics.observe("basilbend_request_seconds", static_cast<double>(took.count()) / 1000);
    m_context.log.info("request_ended",
                       {{"request", m_request.attemptId}, {"route", m_route.name}, {"outcome", outcome}, {"status", status}, {"took_ms", took}});
}

}
