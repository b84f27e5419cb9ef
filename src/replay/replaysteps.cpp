// The part of ReplayRun that runs the steps of trainers with the real StepTracker.
#include "replay/replayrun.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace Basilbend
{

namespace Internal
{

/// Samples of one step that wait at one endpoint at most; the rest is placed when there is room. More of them would be bound
/// to an endpoint before it is known which one gets free first.
constexpr std::size_t QueuedSamplesPerEndpoint = 2;
constexpr std::uint32_t LongestSample = 8192;
constexpr Milliseconds NoDeadline{1000000000};
constexpr double SpareLoad = 0.75;

static std::string promptOf(const TraceTrainer &trainer, const TraceSample &sample, std::size_t position, bool knownLengths)
{
    const auto prompt = trainer.policy + "/" + std::to_string(sample.group);
    return knownLengths ? prompt + "/" + std::to_string(position) : prompt;
}

}

void ReplayRun::openSteps()
{
    for (std::size_t i = 0; i < m_steps.size(); ++i) {
        const auto &samples = m_steps[i]->trainer.openStep(m_now);
        if (!samples.empty()) {
            openStep(*m_steps[i], i, samples);
        }
    }
}

void ReplayRun::openStep(Steps &steps, std::size_t trainer, const std::vector<TraceSample> &samples)
{
    const auto &trace = steps.trainer.trace();
    auto sorted = samples;
    std::stable_sort(sorted.begin(), sorted.end(), [](const TraceSample &a, const TraceSample &b) { return a.group < b.group; });
    Step step;
    step.id = trace.name + "/" + std::to_string(steps.trainer.steps());
    step.workspace = trace.workspace;
    step.model = trace.policy;
    step.maxTokens = Internal::LongestSample;
    step.deadline = m_now + Internal::NoDeadline;
    step.maxStaleness = trace.stalenessBound;
    steps.jobs.clear();
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        const auto prompt = Internal::promptOf(trace, sorted[i], i, m_switches.knownLengths);
        if (step.groups.empty() || step.groups.back().prompt != prompt) {
            step.groups.push_back({prompt, 0});
        }
        ++step.groups.back().samples;
        if (m_switches.knownLengths) {
            steps.lengths = i == 0 ? LengthEstimator() : std::move(steps.lengths);
            steps.lengths.learn(promptKey(prompt), sorted[i].tokens);
        }
        ReplayJob job;
        job.request = {
            m_now, trace.workspace, trace.policy, trace.zone, RequestClass::Rollout, sorted[i].promptTokens, sorted[i].tokens, Internal::NoDeadline, 0};
        const auto key = trace.policy + "/" + std::to_string(sorted[i].group);
        job.request.prefix = XXH3_64bits(key.data(), key.size());
        job.trainer = trainer;
        job.sampleIndex = static_cast<std::uint32_t>(i);
        steps.jobs.push_back(m_jobs.size());
        const auto rate = m_trace.pool(trace.policy)->streamRateOf(sorted[i].promptTokens, sorted[i].tokens);
        m_meter.arrived(m_jobs.size(), trace.workspace, sorted[i].tokens, rate, workPerToken(job.request));
        m_jobs.push_back(std::move(job));
    }
    if (!m_switches.longestFirst) {
        steps.lengths = LengthEstimator();
    }
    steps.cursor = SampleCursor(sorted.size());
    steps.queuedAt.clear();
    steps.tracker = std::make_unique<StepTracker>(std::move(step), steps.lengths, m_now);
    steps.tracker->versionPublished(1, Timestamp(0));
    for (const auto &publication : m_trace.publications) {
        if (publication.policy == trace.policy && publication.at <= m_now) {
            steps.tracker->versionPublished(publication.version, publication.at);
        }
    }
}

void ReplayRun::dispatchSamples(Steps &steps)
{
    if (!steps.tracker) {
        return;
    }
    const auto spare = m_switches.secondCopies && hasSpareCapacity(steps);
    while (const auto order = steps.tracker->next(m_now, spare)) {
        if (!place(steps, *order)) {
            break;
        }
    }
}

bool ReplayRun::place(Steps &steps, const SampleOrder &order)
{
    const auto jobIndex = steps.jobs[order.index];
    const auto &job = m_jobs[jobIndex];
    auto route = routeFor(job);
    route.minimumVersion = order.minimumVersion;
    if (!order.avoidEndpoint.empty()) {
        route.exclude.insert(order.avoidEndpoint);
    }
    if (m_switches.lateBinding) {
        for (const auto &[endpoint, queued] : steps.queuedAt) {
            if (queued >= Internal::QueuedSamplesPerEndpoint) {
                route.exclude.insert(endpoint);
            }
        }
    }
    const auto resumedFrom = m_switches.resume ? order.prefix.tokens : 0;
    auto expected = steps.lengths.expected(promptKey(steps.tracker->step().groups[order.group].prompt), 0);
    expected = std::max(expected - static_cast<double>(resumedFrom), expected / 10);
    const auto id = send(jobIndex, steps.entry, route, resumedFrom, static_cast<std::uint64_t>(expected));
    if (!id) {
        return false;
    }
    auto placed = order;
    placed.prefix = m_switches.resume ? order.prefix : SampleBody{};
    const auto &attempt = m_attempts.at(id.value());
    ++steps.queuedAt[attempt.endpoint->name()];
    steps.tracker->placed(placed, id.value(), attempt.endpoint->name(), attempt.endpoint->engine().version(), m_now);
    return true;
}

bool ReplayRun::hasSpareCapacity(const Steps &steps) const
{
    const auto &rows = m_entries[steps.entry].router().table().rows();
    return std::any_of(rows.begin(), rows.end(), [&](const EndpointTable::Row &row) {
        const auto load = static_cast<double>(row.report.running + row.report.waiting) / static_cast<double>(row.report.capacity);
        return row.report.policy == steps.trainer.trace().policy && !row.unreachable && !row.report.leaving && load < Internal::SpareLoad;
    });
}

void ReplayRun::deliverSamples(Steps &steps)
{
    if (!steps.tracker) {
        return;
    }
    const auto staleBefore = steps.tracker->progress().stale;
    const auto newest = m_switches.stopStale ? 0 : m_versions.at(steps.trainer.trace().policy);
    auto answer = steps.tracker->fetch(steps.cursor, steps.jobs.size(), newest, m_now);
    m_result.staleDiscarded += steps.tracker->progress().stale - staleBefore;
    takeEffects(steps);
    if (!answer) {
        return;
    }
    steps.cursor = answer.value().cursor;
    auto complete = false;
    for (const auto &sample : answer.value().samples) {
        const auto job = steps.jobs[sample.index];
        this->answer(job, true);
        complete = steps.trainer.sampleDelivered(m_now);
    }
    if (complete) {
        steps.tracker->cancel();
        takeEffects(steps);
        steps.tracker.reset();
    }
}

void ReplayRun::sampleProgressed(const AttemptId &id, const FakeEngine::Progress &progress)
{
    auto &attempt = m_attempts.at(id);
    auto &steps = *m_steps[*m_jobs[attempt.job].trainer];
    const auto index = m_jobs[attempt.job].sampleIndex;
    if (!steps.tracker || !steps.tracker->progressed(index, id, {}, progress.tokens, progress.version, true)) {
        return;
    }
    if (progress.finished) {
        auto body = *steps.tracker->output(index, id);
        body.finishReason = "stop";
        const auto staleBefore = steps.tracker->progress().stale;
        steps.tracker->finished(index, id, std::move(body), m_now);
        m_result.staleDiscarded += steps.tracker->progress().stale - staleBefore;
    }
}

void ReplayRun::versionPublished(Steps &steps, const TracePublication &publication)
{
    if (!m_switches.stopStale) {
        return;
    }
    const auto staleBefore = steps.tracker->progress().stale;
    steps.tracker->versionPublished(publication.version, m_now);
    m_result.staleStopped += steps.tracker->progress().stale - staleBefore;
    std::vector<std::size_t> stopped;
    for (const auto &[id, attempt] : m_attempts) {
        if (m_jobs[attempt.job].trainer && m_steps[*m_jobs[attempt.job].trainer].get() == &steps) {
            stopped.push_back(attempt.job);
        }
    }
    takeEffects(steps);
    for (const auto &[id, attempt] : m_attempts) {
        stopped.erase(std::remove(stopped.begin(), stopped.end(), attempt.job), stopped.end());
    }
    for (const auto job : stopped) {
        m_jobs[job].reached = 0;
        m_meter.restarted(job, m_jobs[job].request.tokens);
    }
}

void ReplayRun::takeEffects(Steps &steps)
{
    for (const auto &revoked : steps.tracker->takeEffects().revocations) {
        if (m_attempts.count(revoked.attempt) > 0) {
            endAttempt(revoked.attempt);
        }
    }
}

std::size_t ReplayRun::waitingSamples(const Steps &steps) const
{
    return steps.tracker ? steps.tracker->progress().waiting : 0;
}

}
