#include "replay/replayfleet.h"

#include <algorithm>
#include <utility>

namespace Basilbend
{

namespace Internal
{

constexpr std::size_t LargestSwappingPart = 5;

static ScalerSettings scalerSettings(const TracePool &pool)
{
    ScalerSettings settings;
    settings.tokensPerReplica = pool.fullRate();
    settings.startUp = pool.startUp;
    return settings;
}

}

ReplayFleet::ReplayFleet(const Trace &trace, const ReplaySwitches &switches)
    : m_trace(trace)
    , m_switches(switches)
{
    for (const auto &settings : trace.pools) {
        auto &pool = m_pools.emplace(settings.policy, Pool{&settings, EndpointScaler(Internal::scalerSettings(settings), 1), false, 1, {}}).first->second;
        pool.scales = settings.ready != settings.most;
        for (const auto &[zone, most] : settings.most) {
            pool.scaler.setBounds(zone, 1, most);
            const auto ready = settings.ready.find(zone);
            for (std::uint64_t i = 0; ready != settings.ready.end() && i < ready->second; ++i) {
                add(pool, zone, Timestamp(0));
            }
        }
    }
}

std::vector<std::unique_ptr<ReplayEndpoint>> &ReplayFleet::endpoints()
{
    return m_endpoints;
}

ReplayEndpoint *ReplayFleet::find(const std::string &name)
{
    const auto it = std::find_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto &endpoint) { return endpoint->name() == name; });
    return it == m_endpoints.end() ? nullptr : it->get();
}

void ReplayFleet::publish(const std::string &policy, std::uint64_t version)
{
    m_pools.at(policy).version = version;
}

void ReplayFleet::swapNext(Timestamp now)
{
    for (auto &[policy, pool] : m_pools) {
        std::size_t swapping = 0;
        std::size_t all = 0;
        for (const auto &endpoint : m_endpoints) {
            if (endpoint->pool().policy == policy && endpoint->isServing(now)) {
                ++all;
                swapping += endpoint->engine().isSwapping(now) ? 1 : 0;
            }
        }
        const auto most = std::max<std::size_t>(1, all / Internal::LargestSwappingPart);
        for (const auto &endpoint : m_endpoints) {
            auto &engine = endpoint->engine();
            if (endpoint->pool().policy == policy && endpoint->isServing(now) && swapping < most && !engine.isSwapping(now)
                && engine.version() != pool.version) {
                engine.swapTo(pool.version, now);
                ++swapping;
            }
        }
    }
}

void ReplayFleet::scale(const std::map<std::string, std::map<std::string, double>> &demand, Timestamp now)
{
    for (auto &[policy, pool] : m_pools) {
        if (!pool.scales) {
            continue;
        }
        const auto ofPolicy = demand.find(policy);
        for (const auto &[zone, most] : pool.settings->most) {
            const auto known = ofPolicy != demand.end() && ofPolicy->second.count(zone) > 0;
            pool.scaler.observe(zone, known ? ofPolicy->second.at(zone) : 0, serving(policy, zone, now), now);
        }
        for (const auto &order : pool.scaler.decide(now)) {
            carryOut(pool, order, now);
            pool.scaler.answered(order.id());
        }
    }
    for (const auto &endpoint : m_endpoints) {
        if (endpoint->isLeaving() && !endpoint->isStopped() && endpoint->queue().running() + endpoint->queue().waiting() == 0) {
            endpoint->stop(now);
        }
    }
}

Milliseconds ReplayFleet::spend(Timestamp now) const
{
    Milliseconds sum{0};
    for (const auto &endpoint : m_endpoints) {
        sum += endpoint->spend(now);
    }
    return sum;
}

void ReplayFleet::add(Pool &pool, const std::string &zone, Timestamp readyAt)
{
    const auto name = pool.settings->policy + "/" + zone + "/" + std::to_string(pool.nextNumber[zone]++);
    m_endpoints.push_back(std::make_unique<ReplayEndpoint>(name, zone, *pool.settings, m_trace, m_switches, pool.version, readyAt));
}

void ReplayFleet::carryOut(Pool &pool, const EndpointOrder &order, Timestamp now)
{
    if (order.kind == EndpointOrder::Kind::Start) {
        for (std::size_t i = 0; i < order.count; ++i) {
            add(pool, order.zone, now + pool.settings->startUp);
        }
        return;
    }
    auto left = order.count;
    for (auto it = m_endpoints.rbegin(); it != m_endpoints.rend() && left > 0; ++it) {
        auto &endpoint = **it;
        if (endpoint.pool().policy == pool.settings->policy && endpoint.zone() == order.zone && endpoint.isServing(now) && !endpoint.isLeaving()) {
            endpoint.leave();
            --left;
        }
    }
}

std::size_t ReplayFleet::serving(const std::string &policy, const std::string &zone, Timestamp now) const
{
    return static_cast<std::size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto &endpoint) {
        return endpoint->pool().policy == policy && endpoint->zone() == zone && endpoint->isServing(now) && !endpoint->isLeaving();
    }));
}

}
