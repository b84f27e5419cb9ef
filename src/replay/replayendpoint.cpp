#include "replay/replayendpoint.h"

#include <algorithm>
#include <utility>

namespace Basilbend
{

namespace Internal
{

constexpr Milliseconds NoPreemption{1000000000};

static FairQueueSettings queueSettings(const TracePool &pool, const ReplaySwitches &switches)
{
    FairQueueSettings settings;
    settings.engineBound = pool.engineBound;
    settings.fair = switches.fairQueue;
    settings.refuseEarly = switches.refuseEarly;
    settings.promptWeight = pool.promptWeight();
    if (!switches.preemption) {
        settings.preemptAfter = NoPreemption;
    }
    return settings;
}

}

ReplayEndpoint::ReplayEndpoint(
    std::string name, std::string zone, const TracePool &pool, const Trace &trace, const ReplaySwitches &switches, std::uint64_t version, Timestamp readyAt)
    : m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_pool(pool)
    , m_queue(Internal::queueSettings(pool, switches))
    , m_engine(pool, version)
    , m_readyAt(readyAt)
    , m_orderedAt(std::max(Timestamp(0), readyAt - pool.startUp))
{
    for (const auto &workspace : trace.workspaces) {
        m_queue.setShare(workspace.name, static_cast<double>(workspace.share));
    }
}

const std::string &ReplayEndpoint::name() const
{
    return m_name;
}

const std::string &ReplayEndpoint::zone() const
{
    return m_zone;
}

const TracePool &ReplayEndpoint::pool() const
{
    return m_pool;
}

FairQueue &ReplayEndpoint::queue()
{
    return m_queue;
}

FakeEngine &ReplayEndpoint::engine()
{
    return m_engine;
}

bool ReplayEndpoint::isServing(Timestamp now) const
{
    return !m_stopped && now >= m_readyAt && m_engine.isUp(now);
}

void ReplayEndpoint::stop(Timestamp now)
{
    m_stopped = true;
    m_stoppedAt = now;
}

bool ReplayEndpoint::isStopped() const
{
    return m_stopped;
}

bool ReplayEndpoint::isLeaving() const
{
    return m_leaving;
}

void ReplayEndpoint::leave()
{
    m_leaving = true;
}

Milliseconds ReplayEndpoint::spend(Timestamp now) const
{
    return (m_stopped ? m_stoppedAt : now) - m_orderedAt;
}

LoadReport ReplayEndpoint::report() const
{
    LoadReport report;
    report.endpoint = m_name;
    report.zone = m_zone;
    report.policy = m_pool.policy;
    report.version = m_engine.version();
    report.capacity = m_pool.engineBound;
    report.running = m_queue.running();
    report.waiting = m_queue.waiting();
    report.competing = m_queue.competing();
    report.expectedWait = m_queue.expectedWait({}, RequestClass::Live);
    report.leaving = m_leaving;
    return report;
}

}
