#include "fleet/endpointscaler.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Basilbend
{

namespace Internal
{

/// One sample a second.
constexpr std::size_t DemandSamples = 30;
constexpr int FailureStartUps = 3;

static double demandQuantile(const std::deque<double> &demand, double part)
{
    std::vector<double> values(demand.begin(), demand.end());
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

}

std::string EndpointOrder::id() const
{
    return zone + "/" + std::to_string(epoch) + "/" + std::to_string(number);
}

bool operator==(const EndpointOrder &a, const EndpointOrder &b)
{
    return std::tie(a.zone, a.epoch, a.number, a.kind, a.count) == std::tie(b.zone, b.epoch, b.number, b.kind, b.count);
}

EndpointScaler::EndpointScaler(ScalerSettings settings, std::uint64_t epoch)
    : m_settings(settings)
    , m_epoch(epoch)
{
}

void EndpointScaler::setBounds(const std::string &name, std::size_t least, std::size_t most)
{
    auto &zone = zoneNamed(name);
    zone.least = least;
    zone.most = most;
}

void EndpointScaler::observe(const std::string &name, double tokensPerSecond, std::size_t ready, Timestamp now)
{
    auto &zone = zoneNamed(name);
    zone.demand.push_back(tokensPerSecond);
    if (zone.demand.size() > Internal::DemandSamples) {
        zone.demand.pop_front();
    }
    if (ready > zone.ready) {
        zone.pending -= std::min(zone.pending, ready - zone.ready);
        zone.lastProgress = now;
    } else {
        zone.stopping -= std::min(zone.stopping, zone.ready - ready);
    }
    zone.ready = ready;
}

std::vector<EndpointOrder> EndpointScaler::decide(Timestamp now)
{
    double moved = 0;
    std::size_t healthy = 0;
    for (auto &[name, zone] : m_zones) {
        noticeFailure(zone, now);
        if (now < zone.failingUntil) {
            const auto served = m_settings.upAbove * m_settings.tokensPerReplica * static_cast<double>(zone.ready);
            moved += std::max(0.0, Internal::demandQuantile(zone.demand, m_settings.quantile) - served);
        } else {
            ++healthy;
        }
    }
    std::vector<EndpointOrder> orders;
    for (auto &[name, zone] : m_zones) {
        if (!zone.unanswered && now >= zone.failingUntil) {
            order(name, zone, wanted(zone, moved / static_cast<double>(healthy), now), now);
        }
        if (zone.unanswered) {
            orders.push_back(*zone.unanswered);
        }
    }
    return orders;
}

void EndpointScaler::answered(const std::string &orderId)
{
    for (auto &[name, zone] : m_zones) {
        if (zone.unanswered && zone.unanswered->id() == orderId) {
            zone.unanswered.reset();
        }
    }
}

std::size_t EndpointScaler::pending(const std::string &zone) const
{
    const auto it = m_zones.find(zone);
    return it == m_zones.end() ? 0 : it->second.pending;
}

EndpointScaler::Zone &EndpointScaler::zoneNamed(const std::string &name)
{
    const auto [it, isNew] = m_zones.try_emplace(name);
    if (isNew) {
        it->second.least = m_settings.leastReplicas;
        it->second.most = m_settings.mostReplicas;
    }
    return it->second;
}

std::size_t EndpointScaler::wanted(Zone &zone, double movedDemand, Timestamp now) const
{
    const auto coming = zone.ready + zone.pending - std::min(zone.stopping, zone.ready);
    const auto demand = movedDemand + Internal::demandQuantile(zone.demand, m_settings.quantile);
    const auto capacity = static_cast<double>(coming) * m_settings.tokensPerReplica;
    const auto enough = static_cast<std::size_t>(std::ceil(demand / (m_settings.upAbove * m_settings.tokensPerReplica)));
    auto target = coming;
    if (demand > m_settings.upAbove * capacity) {
        target = std::max(coming, enough);
        zone.lowSince.reset();
    } else if (demand < m_settings.downBelow * capacity) {
        zone.lowSince = zone.lowSince.value_or(now);
        if (now - *zone.lowSince >= m_settings.downAfter) {
            target = std::min(coming, enough);
        }
    } else {
        zone.lowSince.reset();
    }
    return std::clamp(target, zone.least, zone.most);
}

/// A zone that does not deliver what was ordered gets no new orders for a while; its demand counts in the other zones.
void EndpointScaler::noticeFailure(Zone &zone, Timestamp now) const
{
    const auto patience = m_settings.startUp * Internal::FailureStartUps;
    if (zone.pending > 0 && now - zone.lastProgress >= patience) {
        zone.pending = 0;
        zone.failingUntil = now + patience;
    }
}

void EndpointScaler::order(const std::string &name, Zone &zone, std::size_t target, Timestamp now)
{
    const auto coming = zone.ready + zone.pending - std::min(zone.stopping, zone.ready);
    if (target == coming) {
        return;
    }
    EndpointOrder order{name, m_epoch, m_nextNumber++, EndpointOrder::Kind::Start, 0};
    if (target > coming) {
        order.count = target - coming;
        zone.lastProgress = zone.pending == 0 ? now : zone.lastProgress;
        zone.pending += order.count;
    } else {
        order.kind = EndpointOrder::Kind::Stop;
        order.count = coming - target;
        zone.stopping += order.count;
        zone.lowSince.reset();
    }
    zone.unanswered = order;
}

}
