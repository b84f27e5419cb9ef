// The part of ReplayRun that carries requests and samples to endpoints and back.
#include "replay/replayrun.h"

#include <algorithm>
#include <utility>

namespace Basilbend
{

namespace Internal
{

constexpr std::uint64_t MeasuredTokens = 32;
constexpr double UnknownLength = 200;
constexpr double MeanWeight = 0.05;

}

void ReplayRun::submit(std::size_t jobIndex)
{
    auto &job = m_jobs[jobIndex];
    const auto &request = job.request;
    const auto entryIndex = entryIn(request.zone);
    auto &entry = m_entries[entryIndex];
    const auto rate = m_trace.pool(request.policy)->streamRateOf(request.promptTokens, request.tokens);
    m_meter.arrived(jobIndex, request.workspace, request.tokens, rate, workPerToken(request));
    entry.retries().recordFirstAttempt(request.policy);
    const auto mean = m_meanTokens.try_emplace(request.workspace, Internal::UnknownLength).first->second;
    const auto expected = m_switches.knownLengths ? static_cast<double>(request.tokens) : mean;
    if (m_switches.refuseEarly) {
        if (!entry.allowances().at(request.workspace).admit(expected, m_now)) {
            return answer(jobIndex, false);
        }
        const auto wait = entry.router().shortestWait(request.policy);
        if (!entry.guard().admit(request.workspace, wait, request.at + request.deadline, m_now)) {
            return answer(jobIndex, false);
        }
        job.admitted = true;
    }
    auto route = routeFor(job);
    const auto known = m_switches.knownLengths ? request.tokens : 0;
    if (!send(jobIndex, entryIndex, route, 0, known)) {
        if (!entry.retries().tryRetry(request.policy)) {
            return answer(jobIndex, false);
        }
        ++m_result.retries;
        if (!send(jobIndex, entryIndex, route, 0, known)) {
            answer(jobIndex, false);
        }
    }
}

/// Places an attempt; an endpoint that refuses it is excluded from the route.
Result<AttemptId> ReplayRun::send(std::size_t jobIndex, std::size_t entryIndex, RouteRequest &route, std::uint64_t resumedFrom, std::uint64_t expected)
{
    auto &entry = m_entries[entryIndex];
    const auto &request = m_jobs[jobIndex].request;
    const auto chosen = entry.choose(route, m_now);
    if (!chosen) {
        return chosen.error();
    }
    auto *endpoint = m_fleet.find(chosen.value());
    if (!endpoint || !endpoint->isServing(m_now)) {
        entry.router().table().markUnreachable(chosen.value());
        route.exclude.insert(chosen.value());
        return Error{ResultCode::EndpointFailed, "the endpoint can't be reached", Execution::NotRun, Milliseconds(0)};
    }
    const AttemptId id{entry.zone(), 1, m_nextAttempt++};
    const auto pushed = endpoint->queue().push(
        {id, request.workspace, request.requestClass, request.at + request.deadline, expected, request.promptTokens + resumedFrom}, m_now);
    if (!pushed) {
        route.exclude.insert(chosen.value());
        return pushed.error();
    }
    ReplayAttempt attempt;
    attempt.job = jobIndex;
    attempt.entry = entryIndex;
    attempt.endpoint = endpoint;
    attempt.tokens = resumedFrom;
    attempt.resumedFrom = resumedFrom;
    m_attempts.emplace(id, attempt);
    entry.router().table().requestStarted(endpoint->name());
    return id;
}

/// Starts the next attempt of a request whose attempt ended. Retries of samples are up to StepTracker.
void ReplayRun::sendAgain(std::size_t jobIndex, const std::string &avoid, bool counts)
{
    const auto &job = m_jobs[jobIndex];
    if (job.trainer || job.state != ReplayJob::State::Open) {
        return;
    }
    const auto entryIndex = entryIn(job.request.zone);
    if (counts && !m_entries[entryIndex].retries().tryRetry(job.request.policy)) {
        return answer(jobIndex, false);
    }
    m_result.retries += counts ? 1 : 0;
    auto route = routeFor(job);
    if (!avoid.empty()) {
        route.exclude.insert(avoid);
    }
    if (!send(jobIndex, entryIndex, route, job.resumedTokens, m_switches.knownLengths ? job.request.tokens - job.resumedTokens : 0)) {
        answer(jobIndex, false);
    }
}

void ReplayRun::serve(ReplayEndpoint &endpoint)
{
    auto &queue = endpoint.queue();
    for (const auto &refusal : queue.takeRefusals(m_now)) {
        refusedByQueue(refusal);
    }
    for (const auto &id : queue.overdue(m_now)) {
        const auto job = endAttempt(id).job;
        answer(job, false);
    }
    if (!endpoint.isServing(m_now)) {
        return;
    }
    if (const auto victim = queue.preemption(m_now)) {
        ++m_result.preempted;
        const auto job = m_attempts.at(*victim).job;
        interrupt(*victim);
        sendAgain(job, {}, false);
    }
    while (const auto request = queue.start(m_now)) {
        auto &attempt = m_attempts.at(request->id);
        const auto &job = m_jobs[attempt.job];
        attempt.started = true;
        if (job.trainer) {
            --m_steps[*job.trainer]->queuedAt[endpoint.name()];
        }
        endpoint.engine().begin(request->id, request->promptTokens, job.request.prefix, job.request.tokens - attempt.resumedFrom);
    }
    produce(endpoint);
}

void ReplayRun::refusedByQueue(const QueueRefusal &refusal)
{
    const auto &name = m_attempts.at(refusal.id).endpoint->name();
    const auto attempt = m_attempts.at(refusal.id);
    const auto &job = m_jobs[attempt.job];
    if (job.trainer) {
        interrupt(refusal.id);
        return;
    }
    endAttempt(refusal.id);
    if (refusal.error.code == ResultCode::DeadlineExceeded) {
        answer(attempt.job, false);
    } else {
        sendAgain(attempt.job, name, true);
    }
}

void ReplayRun::produce(ReplayEndpoint &endpoint)
{
    for (const auto &progress : endpoint.engine().advance(Milliseconds(50), m_now)) {
        const auto it = m_attempts.find(progress.id);
        if (it == m_attempts.end()) {
            continue;
        }
        auto &attempt = it->second;
        auto &job = m_jobs[attempt.job];
        endpoint.queue().charge(progress.id, progress.tokens, m_now);
        m_generated[job.request.workspace] += progress.tokens;
        attempt.tokens += progress.tokens;
        if (attempt.tokens > job.reached) {
            m_meter.served(attempt.job, attempt.tokens - job.reached);
            job.reached = attempt.tokens;
        }
        measure(attempt);
        const auto jobIndex = attempt.job;
        const auto isSample = job.trainer.has_value();
        if (isSample) {
            sampleProgressed(progress.id, progress);
        }
        if (progress.finished) {
            endAttempt(progress.id);
            if (!isSample) {
                answer(jobIndex, true);
            }
        }
    }
}

void ReplayRun::measure(ReplayAttempt &attempt)
{
    if (attempt.measuredAt == Timestamp()) {
        attempt.measuredAt = m_now;
        attempt.measuredTokens = attempt.tokens;
    } else if (attempt.tokens - attempt.measuredTokens >= Internal::MeasuredTokens) {
        const auto ms = static_cast<double>((m_now - attempt.measuredAt).count()) / static_cast<double>(attempt.tokens - attempt.measuredTokens);
        m_entries[attempt.entry].router().outliers().observe(attempt.endpoint->name(), ms);
        attempt.measuredAt = m_now;
        attempt.measuredTokens = attempt.tokens;
    }
}

/// Ends an attempt whose work has to be gone on with elsewhere.
void ReplayRun::interrupt(const AttemptId &id)
{
    const auto attempt = endAttempt(id);
    auto &job = m_jobs[attempt.job];
    if (job.trainer) {
        auto &steps = *m_steps[*job.trainer];
        if (steps.tracker) {
            steps.tracker->failed(job.sampleIndex, id, m_switches.resume, m_now);
        }
    } else {
        job.resumedTokens = m_switches.resume ? attempt.tokens : 0;
    }
}

/// Removes an attempt from its endpoint and bills it, whatever became of it.
ReplayAttempt ReplayRun::endAttempt(const AttemptId &id)
{
    const auto attempt = m_attempts.at(id);
    m_attempts.erase(id);
    const auto &job = m_jobs[attempt.job];
    attempt.endpoint->engine().cancel(id);
    if (!attempt.endpoint->queue().withdraw(id)) {
        attempt.endpoint->queue().finish(id, m_now);
    }
    if (job.trainer && !attempt.started) {
        auto &queued = m_steps[*job.trainer]->queuedAt[attempt.endpoint->name()];
        queued -= std::min<std::size_t>(1, queued);
    }
    m_billed[job.request.workspace] += attempt.tokens - attempt.resumedFrom;
    m_entries[attempt.entry].router().table().requestFinished(attempt.endpoint->name());
    return attempt;
}

void ReplayRun::answer(std::size_t jobIndex, bool delivered)
{
    auto &job = m_jobs[jobIndex];
    const auto &request = job.request;
    job.state = delivered ? ReplayJob::State::Delivered : ReplayJob::State::Refused;
    ++job.finalAnswers;
    m_meter.ended(jobIndex);
    ++(delivered ? m_result.delivered : m_result.refused);
    if (!delivered) {
        ++m_result.refusedOf[request.workspace];
    }
    const auto late = (m_now - (request.at + request.deadline)).count();
    m_result.finalAnswerMs = std::max(m_result.finalAnswerMs, late);
    if (delivered && late <= 0 && m_now <= m_trace.end) {
        m_goodTokens += request.tokens;
    }
    if (job.admitted) {
        m_entries[entryIn(request.zone)].guard().finished(request.workspace);
    }
    if (delivered && !job.trainer) {
        auto &mean = m_meanTokens[request.workspace];
        mean += Internal::MeanWeight * (static_cast<double>(request.tokens) - mean);
    }
}

double ReplayRun::workPerToken(const TraceRequest &request) const
{
    return 1 + m_trace.pool(request.policy)->promptWeight() * static_cast<double>(request.promptTokens) / static_cast<double>(request.tokens);
}

RouteRequest ReplayRun::routeFor(const ReplayJob &job) const
{
    RouteRequest route;
    route.policy = job.request.policy;
    route.prefix = job.request.prefix;
    if (m_switches.preferUpdated) {
        route.preferredVersion = m_versions.at(job.request.policy);
    }
    return route;
}

}
