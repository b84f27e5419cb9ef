#include "sidecar/sidecarcore.h"

#include <algorithm>

namespace Basilbend
{

SidecarCore::SidecarCore(const SidecarSettings &settings, std::uint64_t incarnation, Hooks hooks)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_hooks(std::move(hooks))
    , m_table(incarnation, settings.attempts)
    , m_queue(settings.queue)
    , m_stamper(settings.engineTagsChunks)
    , m_log(settings.keepLinesFor, settings.keepLinesBytes)
{
}

Result<void> SidecarCore::receive(AttemptRequest request, Timestamp now)
{
    const auto arrival = m_table.receive(request.id, request.sidecarIncarnation, now);
    if (!arrival) {
        return arrival.error();
    }
    if (arrival.value() == AttemptTable::Arrival::Known) {
        return attach(request.id, request.sidecarIncarnation, now);
    }
    const auto accepted = accept(request, now);
    if (!accepted) {
        m_table.refuse(request.id, now);
        return accepted.error();
    }
    const auto id = request.id;
    auto &attempt = m_attempts[id];
    attempt.deadline = now + request.timeLeft;
    attempt.writer = AttemptWriter(id.toString(), request.deltaJoinInterval);
    attempt.request = std::move(request);
    AttemptLine line;
    line.kind = AttemptLine::Kind::Accepted;
    line.incarnation = m_incarnation;
    emitLine(attempt, std::move(line));
    pump(now);
    return boost::outcome_v2::success();
}

Result<void> SidecarCore::accept(const AttemptRequest &request, Timestamp now)
{
    if (m_leaving) {
        return Error{ResultCode::Draining, "the endpoint is leaving", Execution::NotRun};
    }
    const auto &wanted = request.isService ? request.service.route : request.engine.model;
    if (request.isService != m_settings.isService || wanted != m_settings.serves) {
        return Error{ResultCode::NotRun, "this sidecar serves " + m_settings.serves + ", not " + wanted, Execution::NotRun};
    }
    QueuedRequest queued;
    queued.id = request.id;
    queued.workspace = request.workspace;
    queued.requestClass = request.requestClass;
    queued.deadline = now + request.timeLeft;
    queued.expectedTokens = request.expectedTokens;
    queued.promptTokens = countWords(request.engine.prompt) + countWords(request.engine.resumeText);
    return m_queue.push(std::move(queued), now);
}

Result<void> SidecarCore::attach(const AttemptId &id, std::uint64_t addressedIncarnation, Timestamp now)
{
    if (addressedIncarnation == m_incarnation && m_log.lines(id) != nullptr) {
        return boost::outcome_v2::success();
    }
    switch (m_table.revoke(id, addressedIncarnation, now)) {
    case RevocationAnswer::NeverStarted:
        return Error{ResultCode::AttemptRevoked, "the attempt never arrived, and is refused from now on", Execution::NotRun};
    case RevocationAnswer::Running:
    case RevocationAnswer::Finished:
        return Error{ResultCode::AnswerIncomplete, "the attempt ran, but its output is no longer kept", Execution::Ran};
    case RevocationAnswer::UnknownIncarnation:
        break;
    }
    return Error{ResultCode::ExecutionUnknown, "the attempt belongs to another incarnation of this sidecar", Execution::Unknown};
}

RevocationAnswer SidecarCore::revoke(const AttemptId &id, std::uint64_t addressedIncarnation, bool cancel, Timestamp now)
{
    const auto answer = m_table.revoke(id, addressedIncarnation, now);
    if (answer == RevocationAnswer::NeverStarted) {
        m_queue.withdraw(id);
        refuse(id, Error{ResultCode::AttemptRevoked, "the attempt was revoked before it started", Execution::NotRun}, now);
    } else if (answer == RevocationAnswer::Running && cancel) {
        cancelRunning(id, Error{ResultCode::Cancelled, "the attempt was cancelled", Execution::Ran}, now);
    }
    return answer;
}

void SidecarCore::pump(Timestamp now)
{
    // Ending an attempt pumps again; the outermost call does the work, so that the stack stays flat.
    if (m_pumping) {
        return;
    }
    m_pumping = true;
    for (const auto &refusal : m_queue.takeRefusals(now)) {
        m_table.refuse(refusal.id, now);
        refuse(refusal.id, refusal.error, now);
    }
    while (const auto next = m_queue.start(now)) {
        startAttempt(next->id, now);
    }
    m_pumping = false;
}

void SidecarCore::startAttempt(const AttemptId &id, Timestamp now)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end()) {
        m_queue.finish(id, now);
        return;
    }
    auto &attempt = it->second;
    if (!m_settings.isService) {
        if (const auto opened = m_stamper.open(id, attempt.request.minimumVersion); !opened) {
            m_queue.finish(id, now);
            m_table.refuse(id, now);
            refuse(id, opened.error(), now);
            return;
        }
    }
    if (const auto started = m_table.start(id); !started) {
        m_queue.finish(id, now);
        refuse(id, started.error(), now);
        return;
    }
    attempt.running = true;
    attempt.lastOutput = now;
    AttemptLine line;
    line.kind = AttemptLine::Kind::Started;
    emitLine(attempt, std::move(line));
    m_hooks.startCall(attempt.request);
}

void SidecarCore::chunk(const AttemptId &id, const EndpointChunk &chunk, Timestamp now)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end() || !it->second.running) {
        return;
    }
    auto &attempt = it->second;
    attempt.lastOutput = now;
    attempt.usage.completionTokens += chunk.tokens;
    attempt.usage.promptTokens = std::max(attempt.usage.promptTokens, chunk.promptTokens);
    m_queue.charge(id, chunk.tokens, now);
    const auto check = m_stamper.chunk(id, chunk.version, chunk.tokens);
    if (check == VersionStamper::Check::Contradiction) {
        cancelRunning(id, Error{ResultCode::VersionUnverified, "the engine's weight version contradicts its last confirmation", Execution::Ran}, now);
        m_hooks.queryVersion();
        return;
    }
    std::optional<std::uint64_t> version;
    if (check == VersionStamper::Check::Verified) {
        const auto versions = m_stamper.versions(id);
        version = versions.empty() ? std::nullopt : std::optional(versions.back().version);
    }
    attempt.writer.addOutput(chunk.text, chunk.tokens, version, now, sinkFor(id));
    if (chunk.finishReason.empty()) {
        return;
    }
    attempt.finishReason = chunk.finishReason;
    const auto verdict = m_stamper.finish(id);
    if (verdict == VersionStamper::Check::Verified) {
        finishAttempt(id, m_stamper.versions(id), now);
    } else if (verdict == VersionStamper::Check::Contradiction) {
        cancelRunning(id, Error{ResultCode::VersionUnverified, "the weight versions of the output could not be proved", Execution::Ran}, now);
    } else {
        attempt.inDoubt = true;
        m_hooks.queryVersion();
    }
}

void SidecarCore::answer(const AttemptId &id, int status, HttpHeaders headers, std::string body, Timestamp now)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end() || !it->second.running) {
        return;
    }
    AttemptLine line;
    line.kind = AttemptLine::Kind::Answer;
    line.status = status;
    line.headers = std::move(headers);
    line.body = std::move(body);
    emitLine(it->second, std::move(line));
    it->second.finishReason = "stop";
    finishAttempt(id, {}, now);
}

void SidecarCore::finishAttempt(const AttemptId &id, const VersionList &versions, Timestamp now)
{
    auto &attempt = m_attempts.at(id);
    if (attempt.usage.promptTokens == 0) {
        attempt.usage.promptTokens = countWords(attempt.request.engine.prompt);
    }
    AttemptLine line;
    line.kind = AttemptLine::Kind::Finished;
    line.usage = attempt.usage;
    line.versions = versions;
    line.finishReason = attempt.finishReason;
    emitLine(attempt, std::move(line));
    endAttempt(id, ResultCode::Ok, now);
}

void SidecarCore::callFailed(const AttemptId &id, const Error &error, Timestamp now)
{
    const auto it = m_attempts.find(id);
    if (it != m_attempts.end() && it->second.running && !it->second.inDoubt) {
        cancelCall(id, it->second);
        refuse(id, error, now);
    }
}

void SidecarCore::refuse(const AttemptId &id, Error error, Timestamp now)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end()) {
        return;
    }
    AttemptLine line;
    line.kind = AttemptLine::Kind::Refused;
    line.usage = it->second.usage;
    const auto code = error.code;
    line.error = std::move(error);
    emitLine(it->second, std::move(line));
    endAttempt(id, code, now);
}

void SidecarCore::cancelRunning(const AttemptId &id, const Error &error, Timestamp now)
{
    const auto it = m_attempts.find(id);
    if (it != m_attempts.end() && it->second.running) {
        cancelCall(id, it->second);
        refuse(id, error, now);
    }
}

void SidecarCore::cancelCall(const AttemptId &id, Attempt &attempt)
{
    attempt.unsettled = !m_settings.isService && !attempt.inDoubt;
    m_hooks.cancelCall(id);
}

void SidecarCore::usageSettled(const AttemptId &id, std::optional<std::uint64_t> producedTokens)
{
    const auto it = m_unsettled.find(id);
    if (it == m_unsettled.end()) {
        return;
    }
    auto usage = std::move(it->second);
    m_unsettled.erase(it);
    usage.tokens.completionTokens = std::max(usage.tokens.completionTokens, producedTokens.value_or(0));
    m_hooks.reportUsage(usage);
}

AttemptWriter::LineSink SidecarCore::sinkFor(const AttemptId &id)
{
    return [this, id](const AttemptLine &line) {
        const auto it = m_attempts.find(id);
        if (it != m_attempts.end() && it->second.request.sample && m_hooks.observeSample) {
            m_hooks.observeSample(it->second.request, line);
        }
        auto text = line.toText();
        text.push_back('\n');
        m_hooks.emit(id, text, line.isLast());
        m_log.append(id, std::move(text));
    };
}

void SidecarCore::emitLine(Attempt &attempt, AttemptLine line)
{
    attempt.writer.write(std::move(line), sinkFor(attempt.request.id));
}

void SidecarCore::endAttempt(const AttemptId &id, ResultCode end, Timestamp now)
{
    const auto it = m_attempts.find(id);
    const auto attempt = std::move(it->second);
    m_attempts.erase(it);
    m_log.end(id, now);
    if (attempt.running) {
        m_table.finish(id, now);
        m_queue.finish(id, now);
        m_stamper.close(id);
        AttemptUsage usage{id, attempt.request.requestId, attempt.request.workspace, attempt.usage, end, now};
        if (attempt.unsettled) {
            m_unsettled.emplace(id, std::move(usage));
        } else {
            m_hooks.reportUsage(usage);
        }
    }
    pump(now);
}

std::uint64_t SidecarCore::beginVersionQuery()
{
    return m_stamper.beginQuery();
}

void SidecarCore::versionAnswered(std::uint64_t query, std::uint64_t version, bool loading, Timestamp now)
{
    for (const auto &resolution : m_stamper.queryAnswered(query, version, loading)) {
        const auto it = m_attempts.find(resolution.attempt);
        if (it == m_attempts.end() || !it->second.inDoubt) {
            continue;
        }
        if (resolution.verified) {
            finishAttempt(resolution.attempt, resolution.versions, now);
        } else {
            refuse(resolution.attempt, Error{ResultCode::VersionUnverified, "the weight versions of the output could not be proved", Execution::Ran}, now);
        }
    }
    pump(now);
}

void SidecarCore::engineLost(Timestamp now)
{
    m_stamper.engineLost();
    std::vector<AttemptId> inDoubt;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt.inDoubt) {
            inDoubt.push_back(id);
        }
    }
    for (const auto &id : inDoubt) {
        refuse(id, Error{ResultCode::VersionUnverified, "the engine was lost before it confirmed its weight version", Execution::Ran}, now);
    }
}

Result<void> SidecarCore::beginSwap(std::uint64_t version)
{
    return m_stamper.beginSwap(version);
}

void SidecarCore::swapFailed()
{
    m_stamper.swapFailed();
}

void SidecarCore::tick(Timestamp now)
{
    for (const auto &id : m_queue.overdue(now)) {
        cancelRunning(id, Error{ResultCode::DeadlineExceeded, "the deadline passed while the request ran", Execution::Ran}, now);
    }
    if (const auto rollout = m_queue.preemption(now)) {
        cancelRunning(*rollout, Error{ResultCode::Overloaded, "preempted for a workspace below its promise", Execution::Ran}, now);
    }
    for (auto &[id, attempt] : m_attempts) {
        attempt.writer.tick(now, sinkFor(id));
    }
    endSilentCalls(now);
    m_table.expire(now);
    m_log.expire(now);
    pump(now);
}

void SidecarCore::endSilentCalls(Timestamp now)
{
    if (m_settings.isService || m_stamper.isSwapping()) {
        return;
    }
    std::vector<AttemptId> silent;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt.running && now - attempt.lastOutput >= m_settings.engineSilence) {
            silent.push_back(id);
        }
    }
    for (const auto &id : silent) {
        cancelRunning(id, Error{ResultCode::EndpointFailed, "the engine's stream went silent", Execution::Ran}, now);
        m_hooks.queryVersion();
    }
}

void SidecarCore::abandon(const AttemptId &id, Timestamp now)
{
    const auto it = m_attempts.find(id);
    if (it != m_attempts.end() && it->second.request.requestClass == RequestClass::Live) {
        revoke(id, m_incarnation, true, now);
    }
}

void SidecarCore::setShare(const std::string &workspace, double share)
{
    m_queue.setShare(workspace, share);
}

void SidecarCore::setLeaving()
{
    m_leaving = true;
}

std::uint64_t SidecarCore::incarnation() const
{
    return m_incarnation;
}

bool SidecarCore::isIdle() const
{
    return m_attempts.empty() && m_unsettled.empty();
}

EndpointReport SidecarCore::load() const
{
    EndpointReport report;
    report.node = m_settings.node;
    report.incarnation = m_incarnation;
    report.zone = m_settings.zone;
    report.region = m_settings.region;
    report.serves = m_settings.serves;
    report.isService = m_settings.isService;
    report.version = m_stamper.confirmedVersion().value_or(0);
    report.inRotation = m_settings.isService || m_stamper.inRotation();
    report.swapping = m_stamper.isSwapping();
    report.leaving = m_leaving;
    report.running = m_queue.running();
    report.waiting = m_queue.waiting();
    report.competing = m_queue.competing();
    report.capacity = m_settings.queue.engineBound;
    report.expectedWait = m_queue.expectedWait({}, RequestClass::Live);
    return report;
}

AttemptLog &SidecarCore::log()
{
    return m_log;
}

}
