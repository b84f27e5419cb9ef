#include "replay/replayrun.h"

#include <algorithm>
#include <utility>

namespace Basilbend
{

namespace Internal
{

constexpr Milliseconds Tick{50};
constexpr std::uint64_t EntrySeed = 1000;
constexpr double TargetRatio = 0.95;

/// Trainers may need longer than the trace, but a run ends after three times its length.
constexpr std::int64_t LongestRun = 3;

}

ReplayRun::ReplayRun(const Trace &trace, const ReplaySwitches &switches)
    : m_trace(trace)
    , m_switches(switches)
    , m_fleet(trace, m_switches)
    , m_meter(trace.workspaces)
{
    const auto zones = trace.zones();
    m_entries.reserve(zones.size());
    for (const auto &zone : zones) {
        m_entries.emplace_back(zone, trace, m_switches, zones.size(), Internal::EntrySeed + m_entries.size());
    }
    for (const auto &workspace : trace.workspaces) {
        if (workspace.limit > 0) {
            auto &allocator = m_allocators.emplace(workspace.name, AllowanceAllocator(1, Timestamp(0), false)).first->second;
            allocator.setAllowance({static_cast<double>(workspace.limit), 1});
            allocator.setEntries(zones);
        }
    }
    for (const auto &trainer : trace.trainers) {
        m_steps.push_back(std::make_unique<Steps>(trainer, entryIn(trainer.zone)));
    }
    for (const auto &pool : trace.pools) {
        m_versions[pool.policy] = 1;
    }
}

ReplayResult ReplayRun::run()
{
    report();
    while (!isOver()) {
        tick();
    }
    return result();
}

void ReplayRun::tick()
{
    takeEvents();
    if (m_now.milliseconds() % 1000 == 0) {
        everySecond();
    }
    openSteps();
    for (auto &steps : m_steps) {
        dispatchSamples(*steps);
    }
    m_fleet.swapNext(m_now);
    m_now = m_now + Internal::Tick;
    for (const auto &endpoint : m_fleet.endpoints()) {
        serve(*endpoint);
    }
    for (auto &steps : m_steps) {
        deliverSamples(*steps);
    }
    if (m_now <= m_trace.end) {
        m_meter.advance(Internal::Tick, m_now);
    }
}

void ReplayRun::takeEvents()
{
    for (; m_nextPublication < m_trace.publications.size() && m_trace.publications[m_nextPublication].at <= m_now; ++m_nextPublication) {
        publish(m_trace.publications[m_nextPublication]);
    }
    for (; m_nextFault < m_trace.faults.size() && m_trace.faults[m_nextFault].at <= m_now; ++m_nextFault) {
        breakEndpoint(m_trace.faults[m_nextFault]);
    }
    for (; m_nextRequest < m_trace.requests.size() && m_trace.requests[m_nextRequest].at <= m_now; ++m_nextRequest) {
        m_jobs.push_back({});
        m_jobs.back().request = m_trace.requests[m_nextRequest];
        submit(m_jobs.size() - 1);
    }
}

void ReplayRun::everySecond()
{
    report();
    exchangeAllowances();
    m_demand.clear();
    for (const auto &[id, attempt] : m_attempts) {
        const auto &request = m_jobs[attempt.job].request;
        m_demand[request.policy][request.zone] += attempt.endpoint->pool().fullStreamRate();
    }
    for (const auto &steps : m_steps) {
        const auto &trainer = steps->trainer.trace();
        m_demand[trainer.policy][trainer.zone] += static_cast<double>(waitingSamples(*steps)) * m_trace.pool(trainer.policy)->fullStreamRate();
    }
    m_fleet.scale(m_demand, m_now);
}

void ReplayRun::report()
{
    for (const auto &endpoint : m_fleet.endpoints()) {
        for (auto &entry : m_entries) {
            if (endpoint->isStopped()) {
                entry.router().table().remove(endpoint->name());
                entry.router().outliers().remove(endpoint->name());
            } else if (endpoint->isServing(m_now)) {
                // endpoints that serve from the start have been there before the recording
                entry.router().table().apply(endpoint->report(), m_now == Timestamp(0) ? Timestamp(-60000) : m_now);
            }
        }
    }
    for (auto &entry : m_entries) {
        entry.router().tick(m_now);
    }
}

void ReplayRun::exchangeAllowances()
{
    for (auto &[workspace, allocator] : m_allocators) {
        for (auto &entry : m_entries) {
            auto &client = entry.allowances().at(workspace);
            if (const auto grant = allocator.grant(client.demand(m_now), m_now)) {
                client.apply(*grant, m_now, m_now);
            }
        }
    }
}

void ReplayRun::publish(const TracePublication &publication)
{
    m_versions[publication.policy] = publication.version;
    m_fleet.publish(publication.policy, publication.version);
    for (auto &steps : m_steps) {
        if (steps->trainer.trace().policy == publication.policy && steps->tracker) {
            versionPublished(*steps, publication);
        }
    }
}

void ReplayRun::breakEndpoint(const TraceFault &fault)
{
    auto *endpoint = m_fleet.find(fault.endpoint);
    if (!endpoint) {
        return;
    }
    if (fault.kind == TraceFault::Kind::Slow) {
        endpoint->engine().slowDown(fault.factor, m_now + fault.span);
        return;
    }
    endpoint->engine().crash(fault.span, m_now);
    for (auto &entry : m_entries) {
        entry.router().table().markUnreachable(endpoint->name());
    }
    std::vector<AttemptId> here;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt.endpoint == endpoint) {
            here.push_back(id);
        }
    }
    for (const auto &id : here) {
        const auto job = m_attempts.at(id).job;
        interrupt(id);
        sendAgain(job, endpoint->name(), true);
    }
}

std::size_t ReplayRun::entryIn(const std::string &zone) const
{
    const auto it = std::find_if(m_entries.begin(), m_entries.end(), [&](const ReplayEntry &entry) { return entry.zone() == zone; });
    return it == m_entries.end() ? 0 : static_cast<std::size_t>(it - m_entries.begin());
}

bool ReplayRun::isOver() const
{
    const auto trained = std::all_of(m_steps.begin(), m_steps.end(), [](const auto &steps) { return steps->trainer.isDone(); });
    return (m_now >= m_trace.end && trained) || m_now.milliseconds() >= Internal::LongestRun * m_trace.end.milliseconds();
}

ReplayResult ReplayRun::result() const
{
    auto result = m_result;
    result.run = m_switches.name;
    double stepTime = 0;
    for (const auto &steps : m_steps) {
        result.idleSeconds += steps->trainer.idleSeconds(m_now);
        stepTime += steps->trainer.stepSeconds(m_now);
        result.steps += steps->trainer.steps();
        result.stepsUnfinished += steps->trainer.trace().steps.size() - steps->trainer.steps();
    }
    const auto begun = std::max<std::uint64_t>(1, result.steps + result.stepsUnfinished);
    result.stepSeconds = stepTime / static_cast<double>(begun);
    for (const auto &window : m_meter.windows()) {
        ++result.windows;
        if (window.ratio() < Internal::TargetRatio) {
            ++result.windowsBelow;
            result.below.push_back(window);
        }
        if (window.ratio() < result.worstWindow) {
            result.worstWindow = window.ratio();
            result.worstWorkspace = window.workspace;
            result.worstAt = window.start;
        }
    }
    const auto seconds = static_cast<double>(m_trace.end.milliseconds()) / 1000;
    result.goodput = static_cast<double>(m_goodTokens) / seconds;
    result.spendSeconds = static_cast<double>(m_fleet.spend(m_now).count()) / 1000;
    result.spendPerMillion = m_goodTokens == 0 ? 0 : result.spendSeconds / (static_cast<double>(m_goodTokens) / 1e6);
    auto billed = m_billed;
    for (const auto &[id, attempt] : m_attempts) {
        billed[m_jobs[attempt.job].request.workspace] += attempt.tokens - attempt.resumedFrom;
    }
    for (const auto &[workspace, tokens] : m_generated) {
        result.usageWrong += std::max(tokens, billed[workspace]) - std::min(tokens, billed[workspace]);
    }
    for (const auto &job : m_jobs) {
        const auto ended = job.state != ReplayJob::State::Open;
        result.answersMissing += job.finalAnswers != (ended ? 1 : 0) ? 1 : 0;
    }
    return result;
}

}
