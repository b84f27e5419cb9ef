#pragma once

#include "limits/fairqueue.h"
#include "replay/fakeengine.h"
#include "replay/replayswitches.h"
#include "replay/trace.h"
#include "routing/endpointtable.h"

#include <map>
#include <string>

namespace Basilbend
{

/// One endpoint of a replay: the real queue of a sidecar in front of a fake engine.
class ReplayEndpoint
{
public:
    ReplayEndpoint(std::string name,
                   std::string zone,
                   const TracePool &pool,
                   const Trace &trace,
                   const ReplaySwitches &switches,
                   std::uint64_t version,
                   Timestamp readyAt);

    const std::string &name() const;
    const std::string &zone() const;
    const TracePool &pool() const;

    FairQueue &queue();
    FakeEngine &engine();

    /// Started, up and not stopped.
    bool isServing(Timestamp now) const;
    void stop(Timestamp now);
    bool isStopped() const;
    bool isLeaving() const;
    void leave();

    /// Milliseconds paid for so far.
    Milliseconds spend(Timestamp now) const;
    LoadReport report() const;

private:
    std::string m_name;
    std::string m_zone;
    TracePool m_pool;
    FairQueue m_queue;
    FakeEngine m_engine;
    Timestamp m_readyAt;
    Timestamp m_orderedAt;
    Timestamp m_stoppedAt;
    bool m_stopped = false;
    bool m_leaving = false;
};

}
