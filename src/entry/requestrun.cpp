#include "entry/requestrun.h"

#include <algorithm>

namespace Basilbend
{

namespace Internal
{

constexpr int MaxReattaches = 4;
constexpr Milliseconds ReattachDelay{50};
/// A sidecar ends attempts at the deadline itself; its answer says more than a limit here.
constexpr Milliseconds DeadlineGrace{1000};
constexpr Milliseconds NoEndpointPause{100};
constexpr std::size_t MaxErrorBytes = 16 * 1024;
constexpr int HttpOk = 200;

/// Of several attempts, the one that got furthest tells whether the request ran.
Execution furthest(Execution a, Execution b)
{
    if (a == Execution::Ran || b == Execution::Ran) {
        return Execution::Ran;
    }
    return a == Execution::Unknown || b == Execution::Unknown ? Execution::Unknown : Execution::NotRun;
}

bool isWorthAnotherEndpoint(ResultCode code)
{
    switch (code) {
    case ResultCode::Overloaded:
    case ResultCode::Draining:
    case ResultCode::NotRun:
    case ResultCode::ExecutionUnknown:
    case ResultCode::EndpointFailed:
    case ResultCode::AnswerIncomplete:
    case ResultCode::AttemptRevoked:
    case ResultCode::VersionUnverified:
    case ResultCode::SampleStale:
        return true;
    default:
        return false;
    }
}

/// Moves to leaving endpoints' neighbours and after preemptions are our own doing and not charged as retries.
bool isFreeOfCharge(const Error &error)
{
    return error.code == ResultCode::Draining || (error.code == ResultCode::Overloaded && error.execution == Execution::Ran);
}

}

RequestRun::RequestRun(RunRequest request, RunPort &port, RunSink &sink)
    : m_request(std::move(request))
    , m_port(port)
    , m_sink(sink)
    , m_prefix(m_request.prefix)
    , m_partial(m_request.prefix)
{
    if (!m_request.avoidEndpoint.empty()) {
        m_tried.insert(m_request.avoidEndpoint);
    }
}

void RequestRun::start(Timestamp now)
{
    beginAttempt(now);
}

void RequestRun::beginAttempt(Timestamp now)
{
    if (now >= m_request.deadline) {
        fail(Error{ResultCode::DeadlineExceeded, "the deadline passed before an endpoint was found"});
        return;
    }
    auto chosen = m_port.choose(m_request, m_tried);
    if (!chosen && !m_tried.empty()) {
        m_tried.clear();
        chosen = m_port.choose(m_request, m_tried);
    }
    ++m_generation;
    if (!chosen) {
        waitForEndpoint(chosen.error(), now);
        return;
    }
    m_waitingSince.reset();
    m_endpoint = chosen.value();
    ++m_attempts;
    m_attempt = m_port.newAttempt();
    m_attemptText = m_attempt.toString();
    m_outcome.emplace(m_endpoint.incarnation, m_request.idempotent);
    m_attemptStarted = now;
    m_lines = LineReader();
    m_nextLine = 0;
    m_reattaches = 0;
    m_isReattach = false;
    m_errorBody.clear();
    m_prefix = m_partial.verifiedBody();
    m_partial = PartialSample(m_prefix);
    m_outcome->markDispatched();
    m_attemptOpen = true;
    m_port.attemptStarted(m_endpoint);
    m_sink.attemptSent(m_attempt, m_endpoint.node, m_endpoint.version);
    m_port.sendAttempt(m_generation, m_endpoint, attemptRequest(now));
}

void RequestRun::waitForEndpoint(const Error &error, Timestamp now)
{
    if (!m_lastFailure) {
        fail(error);
        return;
    }
    // A request under way outlives the restart of the only endpoint.
    m_waitingSince = m_waitingSince.value_or(now);
    if (now - *m_waitingSince < m_request.endpointWait) {
        m_port.wakeUpAfter(m_generation, Internal::NoEndpointPause);
    } else {
        fail(*m_lastFailure);
    }
}

AttemptRequest RequestRun::attemptRequest(Timestamp now) const
{
    AttemptRequest attempt;
    attempt.id = m_attempt;
    attempt.sidecarIncarnation = m_endpoint.incarnation;
    attempt.requestId = m_request.requestId;
    attempt.workspace = m_request.workspace;
    attempt.requestClass = m_request.requestClass;
    attempt.idempotent = m_request.idempotent;
    attempt.timeLeft = m_request.deadline - now;
    attempt.expectedTokens = m_request.expectedTokens > m_prefix.tokens ? m_request.expectedTokens - m_prefix.tokens : 0;
    attempt.minimumVersion = m_request.minimumVersion;
    attempt.traceparent = m_request.traceparent;
    attempt.revision = m_request.revision;
    attempt.deltaJoinInterval = m_port.joinDeltas();
    attempt.isService = m_request.isService;
    attempt.engine = m_request.engine;
    attempt.engine.resumeText = m_prefix.text;
    attempt.service = m_request.service;
    attempt.sample = m_request.sample;
    if (attempt.sample) {
        attempt.sample->prefixTokens = m_prefix.tokens;
        attempt.sample->prefixVersions = m_prefix.versions;
    }
    return attempt;
}

void RequestRun::received(std::uint64_t generation, int status, std::string_view data, Timestamp now)
{
    if (generation != m_generation || m_done) {
        return;
    }
    if (status != Internal::HttpOk) {
        m_errorBody.append(data.substr(0, Internal::MaxErrorBytes - std::min(m_errorBody.size(), Internal::MaxErrorBytes)));
        return;
    }
    const auto whole =
        m_lines.feed(data, [this, generation, now](std::string_view line) { return generation == m_generation && !m_done && handleLine(line, now); });
    passTextOn();
    if (!whole && generation == m_generation && !m_done) {
        m_port.dropExchange();
        handleCut(now);
    }
}

bool RequestRun::handleLine(std::string_view text, Timestamp now)
{
    auto line = AttemptLine::fromText(text);
    if (!line) {
        m_port.count("malformed_lines");
        return false;
    }
    if (line->attempt != m_attemptText) {
        m_port.count("crossed_lines");
        return false;
    }
    if (line->kind == AttemptLine::Kind::KeepAlive || line->number < m_nextLine) {
        return true;
    }
    if (line->number > m_nextLine) {
        m_port.count("missing_lines");
        return false;
    }
    ++m_nextLine;
    m_reattaches = 0;
    if (line->kind != AttemptLine::Kind::Delta) {
        passTextOn();
    }
    switch (line->kind) {
    case AttemptLine::Kind::Accepted:
        m_outcome->noteAccepted(line->incarnation);
        break;
    case AttemptLine::Kind::Started:
        // Written before the first byte goes to the endpoint, so it does not prove that the request ran.
        break;
    case AttemptLine::Kind::Delta:
        handleDelta(*line);
        break;
    case AttemptLine::Kind::Answer:
        handleAnswer(std::move(*line));
        break;
    case AttemptLine::Kind::Finished:
        handleFinished(*line, now);
        break;
    case AttemptLine::Kind::Refused:
        handleRefusal(line->error, now);
        break;
    case AttemptLine::Kind::KeepAlive:
        break;
    }
    return true;
}

void RequestRun::handleDelta(const AttemptLine &line)
{
    m_outcome->noteStarted(m_endpoint.incarnation);
    m_partial.append(line.text, line.tokens, line.version.value_or(0), line.version.has_value());
    m_sink.received(line.text, line.tokens, line.version.value_or(0));
    if (m_sink.isStreaming()) {
        m_unsentText += line.text;
        m_unsentTokens += line.tokens;
    }
}

/// Lines that arrived together leave together.
void RequestRun::passTextOn()
{
    if (!m_unsentText.empty() || m_unsentTokens > 0) {
        m_streamedBytes = m_partial.body().text.size();
        m_sink.text(m_unsentText, m_unsentTokens);
        m_unsentText.clear();
        m_unsentTokens = 0;
    }
}

void RequestRun::handleAnswer(AttemptLine line)
{
    m_outcome->noteStarted(m_endpoint.incarnation);
    m_result.status = line.status;
    m_result.headers = std::move(line.headers);
    m_result.answer = std::move(line.body);
}

void RequestRun::handleFinished(const AttemptLine &line, Timestamp now)
{
    m_outcome->noteFinished(m_endpoint.incarnation);
    m_result.body = m_partial.body();
    m_result.body.finishReason = line.finishReason;
    m_result.body.versions = m_prefix.versions;
    for (const auto &segment : line.versions) {
        appendVersion(m_result.body.versions, segment.version, segment.firstToken + m_prefix.tokens);
    }
    m_result.promptTokens = line.usage.promptTokens;
    m_result.endpoint = m_endpoint.node;
    m_result.attempts = m_attempts;
    const auto produced = m_partial.body().tokens - m_prefix.tokens;
    if (produced > 0) {
        m_port.observeSpeed(m_endpoint, static_cast<double>((now - m_attemptStarted).count()) / static_cast<double>(produced));
    }
    endAttempt();
    m_done = true;
    m_sink.finished(m_result);
}

void RequestRun::exchangeEnded(std::uint64_t generation, const HttpClientResponse &response, Timestamp now)
{
    if (generation != m_generation || m_done) {
        return;
    }
    if (response.failure == TransportFailure::ConnectionRefused || response.failure == TransportFailure::ConnectFailed) {
        handleUnreachable(now);
    } else if (response.failure == TransportFailure::None && response.status != Internal::HttpOk) {
        handleRefusal(errorFromBody(m_errorBody), now);
    } else {
        handleCut(now);
    }
}

void RequestRun::handleUnreachable(Timestamp now)
{
    m_port.endpointUnreachable(m_endpoint);
    if (!m_isReattach) {
        m_outcome->noteConnectFailure(!m_request.idempotent);
    }
    afterFailure(Error{ResultCode::EndpointFailed, "the sidecar " + m_endpoint.node + " can't be reached"}, now);
}

void RequestRun::handleRefusal(const Error &error, Timestamp now)
{
    m_outcome->noteRefused(m_endpoint.incarnation, error.execution);
    afterFailure(error, now);
}

void RequestRun::handleCut(Timestamp now)
{
    if (m_reattaches >= Internal::MaxReattaches) {
        m_port.endpointUnreachable(m_endpoint);
        afterFailure(Error{ResultCode::AnswerIncomplete, "the stream of the sidecar " + m_endpoint.node + " was cut and could not be read again"}, now);
        return;
    }
    m_port.count("cut_streams");
    ++m_generation;
    m_port.wakeUpAfter(m_generation, m_reattaches == 0 ? Milliseconds(0) : Internal::ReattachDelay * (1 << m_reattaches));
    ++m_reattaches;
}

void RequestRun::wokenUp(std::uint64_t generation, Timestamp now)
{
    if (generation != m_generation || m_done) {
        return;
    }
    if (!m_attemptOpen) {
        beginAttempt(now);
        return;
    }
    ++m_generation;
    m_isReattach = true;
    m_lines = LineReader();
    m_errorBody.clear();
    m_port.reattach(m_generation, m_endpoint, m_attempt, m_nextLine);
}

void RequestRun::afterFailure(Error error, Timestamp now)
{
    m_execution = Internal::furthest(m_execution, m_outcome->execution());
    error.execution = m_execution;
    m_lastFailure = error;
    endAttempt();
    m_tried.insert(m_endpoint.node);
    ++m_generation;
    if (Internal::isWorthAnotherEndpoint(error.code) && canRepeat()) {
        if (Internal::isFreeOfCharge(error) || m_port.takeRetry(m_request.target())) {
            m_port.count("retries");
            beginAttempt(now);
            return;
        }
        error = Error{ResultCode::RetryBudgetExhausted, "no retry is left after: " + error.message, m_execution, Milliseconds(1000)};
    }
    fail(std::move(error));
}

bool RequestRun::canRepeat() const
{
    const bool streamedTooFar = m_streamedBytes > m_partial.verifiedBody().text.size();
    return m_outcome->mayRetry() && m_attempts < m_request.maxAttempts && !streamedTooFar;
}

void RequestRun::endAttempt()
{
    if (m_attemptOpen) {
        m_attemptOpen = false;
        m_port.attemptEnded(m_endpoint);
    }
}

void RequestRun::cancel(Error error, Timestamp /*now*/)
{
    if (m_done) {
        return;
    }
    if (m_attemptOpen) {
        m_execution = Internal::furthest(m_execution, m_outcome->execution());
        m_port.dropExchange();
        m_port.cancelAttempt(m_endpoint, m_attempt);
    }
    endAttempt();
    fail(std::move(error));
}

void RequestRun::tick(Timestamp now)
{
    if (now >= m_request.deadline + Internal::DeadlineGrace) {
        cancel(Error{ResultCode::DeadlineExceeded, "the deadline of the request has passed"}, now);
    }
}

void RequestRun::fail(Error error)
{
    if (!m_done) {
        m_done = true;
        error.execution = m_execution;
        m_sink.failed(error);
    }
}

bool RequestRun::isDone() const
{
    return m_done;
}

const RunRequest &RequestRun::request() const
{
    return m_request;
}

std::uint64_t RequestRun::attempts() const
{
    return m_attempts;
}

}
