#pragma once

#include "fleet/endpointscaler.h"
#include "replay/replayendpoint.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// The endpoints of a replay: starts and stops them as the real scaler orders, rolls new weights out, and breaks them.
class ReplayFleet
{
public:
    ReplayFleet(const Trace &trace, const ReplaySwitches &switches);

    std::vector<std::unique_ptr<ReplayEndpoint>> &endpoints();
    ReplayEndpoint *find(const std::string &name);

    /// New weights are published: at most a fifth of the pool swaps at once.
    void publish(const std::string &policy, std::uint64_t version);

    /// Starts the next swaps of weights that are due. Called once per tick.
    void swapNext(Timestamp now);

    /// Once a second: tokens per second asked for, by policy and zone.
    void scale(const std::map<std::string, std::map<std::string, double>> &demand, Timestamp now);

    Milliseconds spend(Timestamp now) const;

private:
    struct Pool {
        const TracePool *settings = nullptr;
        EndpointScaler scaler;
        bool scales = false;
        std::uint64_t version = 1;
        std::map<std::string, std::size_t> nextNumber;
    };

    void add(Pool &pool, const std::string &zone, Timestamp readyAt);
    void carryOut(Pool &pool, const EndpointOrder &order, Timestamp now);
    std::size_t serving(const std::string &policy, const std::string &zone, Timestamp now) const;

    const Trace &m_trace;
    const ReplaySwitches &m_switches;
    std::vector<std::unique_ptr<ReplayEndpoint>> m_endpoints;
    std::map<std::string, Pool> m_pools;
};

}
