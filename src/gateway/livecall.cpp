#include "gateway/livecall.h"

#include "forwarding/servicechoice.h"
#include "gateway/rejection.h"
#include "http/socketoptions.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr Milliseconds ConnectTimeout{250};
/// Time limit of requests whose client names none, if the route's is longer.
constexpr Milliseconds DefaultDeadline{10000};
/// An endpoint's answer when the time that it was given is over.
constexpr int EndpointTimeoutStatus = 504;
/// Pause before full endpoints are asked again.
constexpr Milliseconds RoomPause{20};
/// A resumable stream without a new event for this long goes on elsewhere; other bytes are no progress. Clients leave a stream
/// after a gap of two seconds.
constexpr Milliseconds StreamSilenceLimit{1000};
constexpr Milliseconds SilenceCheckInterval{100};
/// A stream whose client takes nothing is ended above this.
constexpr std::size_t MaxPendingBytes = 1024 * 1024;

}

LiveCall::LiveCall(GatewayContext &context, std::shared_ptr<ServerExchange> exchange, ClientRequest request, RouteRule route, std::string workspace)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_route(std::move(route))
    , m_workspace(std::move(workspace))
    , m_arrivedAt(context.loop.now())
{
    m_endsAt = m_arrivedAt + std::min(m_route.timeout, m_request.deadline.value_or(DefaultDeadline));
}

LiveCall::~LiveCall()
{
    m_context.answers.release(m_heldBytes);
}

bool LiveCall::streams() const
{
    return m_route.kind == RouteKind::Streaming;
}

Milliseconds LiveCall::timeLeft() const
{
    return m_endsAt - m_context.loop.now();
}

int LiveCall::openTries() const
{
    return static_cast<int>(std::count_if(m_tries.begin(), m_tries.end(), [](const auto &attempt) { return !attempt->ended; }));
}

void LiveCall::start()
{
    m_service = chooseService(m_route, m_context.random);
    m_exchange->onClientDisconnected = [self = weak_from_this()] {
        if (const auto call = self.lock()) {
            call->finish("client_left", 0);
        }
    };
    // The call is kept by its tries; the timers of an ended one must not keep its body.
    m_context.loop.runAfter(std::max(timeLeft(), Milliseconds(1)), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onTimeout();
        }
    });
    launch();
}

void LiveCall::launch()
{
    if (m_done) {
        return;
    }
    const auto ready = m_context.view.endpoints().readyEndpoints(m_service);
    if (ready.empty()) {
        if (m_ranTries == 0) {
            refuse(503, ResultCode::NoEndpoint, "no endpoint of the service is ready", Milliseconds(300));
        } else if (openTries() == 0) {
            refuse(502, ResultCode::EndpointFailed, "the endpoint failed and no other is ready", Milliseconds(0));
        }
        return;
    }
    const auto now = m_context.loop.now();
    const auto *endpoint = m_context.picker.pick(ready, m_excluded, now);
    if (endpoint == nullptr) {
        // Every endpoint has been tried or is full; those that refused may have room by now.
        waitForRoom();
        return;
    }
    send(*endpoint);
}

void LiveCall::waitForRoom()
{
    if (openTries() > 0 || m_waitingForRoom) {
        return;
    }
    const auto waited = m_context.loop.now() - m_arrivedAt;
    if (m_ranTries == 0 && waited >= m_route.latencyTarget / 5) {
        refuse(503, ResultCode::Overloaded, "all endpoints of the service are full", m_route.latencyTarget / 2);
        return;
    }
    m_waitingForRoom = true;
    m_context.loop.runAfter(RoomPause, [self = shared_from_this()] {
        self->m_waitingForRoom = false;
        self->m_excluded.clear();
        self->launch();
    });
}

void LiveCall::send(const EndpointRecord &endpoint)
{
    auto message = makeForwardedRequest(m_exchange->request(), endpoint.id, m_workspace, timeLeft());
    if (m_lastEventId > 0) {
        setResumePosition(message, m_lastEventId);
    }
    const auto index = m_tries.size();
    m_tries.push_back(std::make_unique<Try>());
    auto &attempt = *m_tries.back();
    attempt.endpoint = endpoint;
    attempt.sentAt = m_context.loop.now();
    m_excluded.insert(endpoint.id);
    m_context.picker.noteSent(endpoint.id);
    m_context.log.info("request_sent",
                       {{"request", m_request.attemptId},
                        {"endpoint", endpoint.id},
                        {"try", index + 1},
                        {"in_flight", m_context.picker.inFlight(endpoint.id)},
                        {"left_ms", timeLeft()}});
    attempt.call = m_context.client.send(parseSocketEndpoint(endpoint.address), message, hooksOf(index), ConnectTimeout);
    armHedge();
}

CallHooks LiveCall::hooksOf(std::size_t index)
{
    const auto self = shared_from_this();
    CallHooks hooks;
    hooks.matchResponse = [self](const ResponseHead &head) { return ownerOf(head, self->m_request.attemptId); };
    hooks.onHead = [self, index](const ResponseHead &head) { self->acceptHead(index, head); };
    hooks.onBody = [self, index](std::string_view data) { self->acceptBody(index, data); };
    hooks.onEnd = [self, index](CallOutcome end) { self->acceptEnd(index, end); };
    return hooks;
}

void LiveCall::armHedge()
{
    const bool mayHedge = m_route.kind == RouteKind::Idempotent && static_cast<int>(m_tries.size()) < m_route.attempts;
    if (!mayHedge) {
        return;
    }
    m_context.loop.runAfter(m_route.latencyTarget / 2, [weak = weak_from_this(), tries = m_tries.size()] {
        if (const auto self = weak.lock()) {
            self->hedge(tries);
        }
    });
}

void LiveCall::hedge(std::size_t tries)
{
    const bool isWaiting = !m_done && m_tries.size() == tries && !m_tries.back()->ended && !m_tries.back()->hasHead;
    if (!isWaiting || m_ranTries + openTries() >= m_route.attempts) {
        return;
    }
    const auto ready = m_context.view.endpoints().readyEndpoints(m_service);
    if (const auto *other = m_context.picker.pick(ready, m_excluded, m_context.loop.now())) {
        m_context.log.info("request_hedged", {{"request", m_request.attemptId}, {"slow_endpoint", m_tries.back()->endpoint.id}});
        send(*other);
    }
}

void LiveCall::acceptHead(std::size_t index, const ResponseHead &head)
{
    auto &attempt = *m_tries[index];
    attempt.hasHead = true;
    attempt.head = head;
    attempt.evidence = decodeEvidence(head);
    if (attempt.evidence.isLeaving) {
        m_context.view.markEndpointLeaving(attempt.endpoint.id, attempt.endpoint.startedAtMs);
    }
    if (attempt.evidence.load) {
        m_context.picker.noteWaiting(attempt.endpoint.id, attempt.evidence.load->waiting, m_context.loop.now());
    }
    if (streams() && head.status == 200 && attempt.evidence.isSigned() && !m_done) {
        acceptStreamHead(index);
    }
}

void LiveCall::acceptStreamHead(std::size_t index)
{
    noteBegan(m_context.loop.now());
    m_events = std::make_unique<EventStreamParser>([this](const StreamEvent &event) { acceptEvent(event); });
    if (!m_streaming) {
        m_streaming = true;
        auto head = m_tries[index]->head;
        head.fields.removeHopByHop();
        m_exchange->beginStream(head);
    }
    if (m_route.canResume) {
        m_lastProgress = m_context.loop.now();
        watchSilence(index);
    }
}

void LiveCall::watchSilence(std::size_t index)
{
    m_context.loop.runAfter(SilenceCheckInterval, [weak = weak_from_this(), index] {
        const auto self = weak.lock();
        if (!self || self->m_done || self->m_tries[index]->ended) {
            return;
        }
        const bool isLastTry = self->m_ranTries + 1 >= self->m_route.attempts;
        if (isLastTry || self->m_context.loop.now() - self->m_lastProgress < StreamSilenceLimit) {
            self->watchSilence(index);
            return;
        }
        self->m_tries[index]->call.cancel();
        self->acceptEnd(index, CallOutcome::Broken);
    });
}

void LiveCall::acceptEvent(const StreamEvent &event)
{
    if (event.hasId && event.id <= m_lastEventId) {
        return;
    }
    m_lastProgress = m_context.loop.now();
    m_lastEventId = event.hasId ? event.id : m_lastEventId;
    m_exchange->sendChunk(event.raw);
    if (m_exchange->pendingBytes() > MaxPendingBytes) {
        m_exchange->abort();
        finish("client_too_slow", 0);
    }
}

void LiveCall::acceptBody(std::size_t index, std::string_view data)
{
    if (m_streaming && m_events) {
        if (!m_events->feed(data)) {
            breakTry(index, "event too large");
        }
        return;
    }
    auto &body = m_tries[index]->body;
    if (m_context.answers.grow(body.size(), data.size())) {
        m_heldBytes += data.size();
        body.append(data);
    } else {
        breakTry(index, "answer too large");
    }
}

void LiveCall::breakTry(std::size_t index, const char *why)
{
    auto &attempt = *m_tries[index];
    m_context.log.warning("answer_refused",
                          {{"request", m_request.attemptId}, {"endpoint", attempt.endpoint.id}, {"why", why}, {"bytes", attempt.body.size()}});
    attempt.call.cancel();
    // Called from the loop, because this is called from within the call, whose end may drop the last other owner of this.
    m_context.loop.runAfter(Milliseconds(0), [self = shared_from_this(), index] {
        if (!self->m_tries[index]->ended) {
            self->acceptEnd(index, CallOutcome::Broken);
        }
    });
}

void LiveCall::acceptEnd(std::size_t index, CallOutcome end)
{
    auto &attempt = *m_tries[index];
    attempt.ended = true;
    m_context.picker.noteEnded(attempt.endpoint.id);
    if (m_done) {
        return;
    }
    if (m_streaming) {
        endStreamTry(index, end);
        return;
    }
    const auto outcome = outcomeOfTry(end, attempt.evidence.status, attempt.evidence.notExecuted, attempt.evidence.isSigned());
    noteEndpoint(attempt, end, outcome);
    if (outcome != TryOutcome::NotRun) {
        ++m_ranTries;
        noteBegan(attempt.sentAt);
    }
    decide(index, outcome);
}

void LiveCall::noteEndpoint(const Try &ended, CallOutcome end, TryOutcome outcome)
{
    const auto now = m_context.loop.now();
    const auto &id = ended.endpoint.id;
    if (outcome == TryOutcome::Answered) {
        m_context.picker.noteLatency(id, now - ended.sentAt, now);
    } else if (end == CallOutcome::Complete && outcome == TryOutcome::NotRun && ended.evidence.status != 421) {
        m_context.picker.noteFull(id, now);
    } else if (end == CallOutcome::Complete && ended.evidence.status == EndpointTimeoutStatus) {
        m_context.picker.noteSilence(id, now);
    } else {
        m_context.picker.noteFailure(id, now);
    }
    if (outcome != TryOutcome::Answered) {
        m_context.log.warning("try_failed",
                              {{"request", m_request.attemptId},
                               {"endpoint", id},
                               {"end", callOutcomeName(end)},
                               {"status", ended.evidence.status},
                               {"not_executed", ended.evidence.notExecuted},
                               {"after_ms", now - ended.sentAt}});
    }
}

void LiveCall::decide(std::size_t index, TryOutcome outcome)
{
    const TryHistory history{mayRunAgain(), m_route.attempts, m_ranTries, openTries(), timeLeft().count() > 0};
    switch (decideAfterTry(outcome, history)) {
    case TryDecision::PassAnswer:
        passAnswer(*m_tries[index]);
        break;
    case TryDecision::TryAgain:
        launch();
        break;
    case TryDecision::WaitForOther:
        break;
    case TryDecision::RefuseNotRun:
        refuse(503, ResultCode::NotRun, "no endpoint ran the request", m_route.latencyTarget / 2);
        break;
    case TryDecision::FailUnknown:
        refuse(502, ResultCode::ExecutionUnknown, "the endpoint's answer is missing or incomplete", Milliseconds(0));
        break;
    }
}

void LiveCall::endStreamTry(std::size_t index, CallOutcome end)
{
    // A refusal by the endpoint where the stream should go on is complete as well, and ends nothing.
    const bool carriedStream = m_events != nullptr;
    if (end == CallOutcome::Complete && carriedStream) {
        m_exchange->endStream();
        finish("streamed", 200);
        return;
    }
    const auto &attempt = *m_tries[index];
    const auto outcome =
        carriedStream ? TryOutcome::MayHaveRun : outcomeOfTry(end, attempt.evidence.status, attempt.evidence.notExecuted, attempt.evidence.isSigned());
    noteEndpoint(attempt, end, outcome);
    m_ranTries += outcome == TryOutcome::NotRun ? 0 : 1;
    m_events.reset();
    if (m_route.canResume && m_ranTries < m_route.attempts && timeLeft().count() > 0) {
        m_context.log.info("stream_resumed", {{"request", m_request.attemptId}, {"after_event", m_lastEventId}});
        launch();
        return;
    }
    m_exchange->abort();
    finish("stream_broken", 0);
}

bool LiveCall::mayRunAgain() const
{
    return m_route.kind == RouteKind::Idempotent || (streams() && m_route.canResume);
}

void LiveCall::noteBegan(Timestamp at)
{
    if (!m_counted) {
        m_counted = true;
        m_context.usage.countRequest(m_workspace, at);
    }
}

void LiveCall::onTimeout()
{
    if (m_done) {
        return;
    }
    if (m_streaming) {
        m_exchange->abort();
        finish("stream_timeout", 0);
        return;
    }
    const bool mayHaveRun = m_ranTries > 0 || openTries() > 0;
    if (mayHaveRun) {
        for (const auto &attempt : m_tries) {
            if (!attempt->ended) {
                m_context.picker.noteSilence(attempt->endpoint.id, m_context.loop.now());
                noteBegan(attempt->sentAt);
            }
        }
        refuse(504, ResultCode::DeadlineExceeded, "no answer within the time limit", Milliseconds(0));
    } else {
        refuse(503, ResultCode::NotRun, "no endpoint had room within the time limit", m_route.latencyTarget);
    }
}

void LiveCall::passAnswer(Try &answered)
{
    ResponseMessage response{answered.head.status, answered.head.fields, std::move(answered.body)};
    response.fields.removeHopByHop();
    m_exchange->respond(response);
    finish("answered", answered.head.status);
}

void LiveCall::refuse(int status, ResultCode code, const std::string &message, Milliseconds retryAfter)
{
    const auto execution = status == 503 ? Execution::NotRun : Execution::Unknown;
    if (m_streaming) {
        m_exchange->abort();
    } else {
        m_exchange->respond(makeRejection(status, Error{code, message, execution, retryAfter}, m_request.attemptId));
    }
    m_context.log.warning("request_failed",
                          {{"request", m_request.attemptId},
                           {"route", m_route.name},
                           {"service", m_service},
                           {"status", status},
                           {"code", static_cast<int>(code)},
                           {"tries", m_tries.size()},
                           {"ran", m_ranTries},
                           {"after_ms", m_context.loop.now() - m_arrivedAt}});
    finish("rejected", status);
}

void LiveCall::finish(const char *outcome, int status)
{
    if (m_done) {
        return;
    }
    m_done = true;
    const auto took = m_context.loop.now() - m_arrivedAt;
    for (const auto &attempt : m_tries) {
        if (!attempt->ended) {
            attempt->ended = true;
            m_context.picker.noteEnded(attempt->endpoint.id);
            noteBegan(attempt->sentAt);
            attempt->call.cancel();
        }
    }
    m_context.metrics.count("basilbend_requests_total", {{"outcome", outcome}});
    m_context.metrics.observe("basilbend_request_seconds", static_cast<double>(took.count()) / 1000);
    m_context.log.info("request_ended",
                       {{"request", m_request.attemptId}, {"route", m_route.name}, {"outcome", outcome}, {"status", status}, {"took_ms", took}});
}

}
