#include "versions/weightrollout.h"

#include <algorithm>
#include <iterator>

namespace Basilbend
{

WeightRollout::WeightRollout(WeightRolloutSettings settings)
    : m_settings(settings)
{
}

void WeightRollout::addReplica(const std::string &replica, const std::string &zone)
{
    if (m_replicas.emplace(replica, Replica{zone, 0, false, false, 0, 0, 0, {}, {}}).second) {
        m_zones[zone].push_back(replica);
    }
}

void WeightRollout::removeReplica(const std::string &replica)
{
    const auto it = m_replicas.find(replica);
    if (it == m_replicas.end()) {
        return;
    }
    if (it->second.load) {
        --m_served[it->second.load->source];
    }
    auto &zone = m_zones[it->second.zone];
    zone.erase(std::remove(zone.begin(), zone.end(), replica), zone.end());
    m_replicas.erase(it);
    m_served.erase(replica);
}

bool WeightRollout::setTarget(std::uint64_t version)
{
    if (version <= m_target) {
        return false;
    }
    m_target = version;
    m_storeServedTarget = false;
    for (auto &[name, replica] : m_replicas) {
        replica.out = false;
        replica.failures = 0;
        replica.sourceFailures = 0;
        replica.tries = 0;
        replica.fromStore = false;
        replica.lastSource.clear();
    }
    return true;
}

void WeightRollout::confirmed(const std::string &name, std::uint64_t version)
{
    const auto it = m_replicas.find(name);
    if (it == m_replicas.end()) {
        return;
    }
    auto &replica = it->second;
    replica.version = version;
    if (replica.load && version >= replica.load->version) {
        --m_served[replica.load->source];
        replica.fromStore = replica.load->source.empty() && replica.load->version == m_target;
        m_storeServedTarget = m_storeServedTarget || replica.fromStore;
        replica.load.reset();
    }
    if (version >= m_target) {
        replica.out = false;
        replica.failures = 0;
    }
}

void WeightRollout::failed(const std::string &name, Timestamp now)
{
    const auto it = m_replicas.find(name);
    if (it == m_replicas.end() || !it->second.load) {
        return;
    }
    auto &replica = it->second;
    const auto source = m_replicas.find(replica.load->source);
    if (source != m_replicas.end()) {
        ++source->second.sourceFailures;
    }
    --m_served[replica.load->source];
    replica.lastSource = replica.load->source;
    const bool storeInDoubt = replica.lastSource.empty() && !m_storeServedTarget;
    replica.load.reset();
    if (replica.lastSource.empty()) {
        m_storeRefusedUntil = std::max(m_storeRefusedUntil, now + m_settings.storePause);
    }
    replica.failures += storeInDoubt ? 0 : 1;
    replica.out = replica.failures > m_settings.retries;
}

void WeightRollout::storeRefused(const std::string &name, Milliseconds retryAfter, Timestamp now)
{
    m_storeRefusedUntil = std::max(m_storeRefusedUntil, now + retryAfter);
    const auto it = m_replicas.find(name);
    if (it != m_replicas.end() && it->second.load) {
        --m_served[it->second.load->source];
        it->second.load.reset();
    }
}

std::vector<LoadOrder> WeightRollout::takeOrders(Timestamp now)
{
    expireLoads(now);
    std::vector<LoadOrder> orders;
    for (const auto &[name, zone] : m_zones) {
        orderZone(zone, now, orders);
    }
    return orders;
}

std::vector<std::string> WeightRollout::outOfRotation() const
{
    std::vector<std::string> names;
    for (const auto &[name, replica] : m_replicas) {
        if (replica.out) {
            names.push_back(name);
        }
    }
    return names;
}

std::size_t WeightRollout::updated() const
{
    return static_cast<std::size_t>(std::count_if(m_replicas.begin(), m_replicas.end(), [this](const auto &item) { return item.second.version >= m_target; }));
}

std::size_t WeightRollout::swapping(const std::string &zone) const
{
    const auto it = m_zones.find(zone);
    if (it == m_zones.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(it->second.begin(), it->second.end(), [this](const auto &name) { return m_replicas.at(name).load.has_value(); }));
}

bool WeightRollout::isComplete() const
{
    return std::all_of(m_replicas.begin(), m_replicas.end(), [this](const auto &item) { return item.second.out || item.second.version >= m_target; });
}

bool WeightRollout::needsLoad(const Replica &replica) const
{
    return replica.version < m_target && !replica.load && !replica.out;
}

bool WeightRollout::isSource(const Replica &replica) const
{
    // One that failed its neighbours as often as a load is tried is not asked again for this version.
    return replica.version == m_target && !replica.out && replica.sourceFailures <= m_settings.retries;
}

void WeightRollout::expireLoads(Timestamp now)
{
    for (auto &[name, replica] : m_replicas) {
        if (replica.load && now - replica.load->since >= m_settings.loadTimeout) {
            failed(name, now);
        }
    }
}

WeightRollout::Zone WeightRollout::candidates(const Zone &zone) const
{
    Zone names;
    std::copy_if(zone.begin(), zone.end(), std::back_inserter(names), [this](const auto &name) { return needsLoad(m_replicas.at(name)); });
    std::stable_sort(names.begin(), names.end(), [this](const auto &a, const auto &b) { return m_replicas.at(a).tries < m_replicas.at(b).tries; });
    return names;
}

void WeightRollout::orderZone(const Zone &zone, Timestamp now, std::vector<LoadOrder> &orders)
{
    const auto loading = std::count_if(zone.begin(), zone.end(), [this](const auto &name) { return m_replicas.at(name).load.has_value(); });
    const auto limit = std::max<std::size_t>(1, zone.size() / m_settings.swapShare);
    auto room = limit - std::min(limit, static_cast<std::size_t>(loading));
    if (room == 0) {
        return;
    }
    for (const auto &name : candidates(zone)) {
        auto &replica = m_replicas.at(name);
        const bool store = mayReadStore(zone, now);
        const auto source = store ? std::string() : chooseSource(zone, replica.lastSource);
        if (!store && source.empty()) {
            return;
        }
        replica.load = Load{m_target, source, now};
        ++replica.tries;
        ++m_served[source];
        orders.push_back({name, m_target, source});
        if (--room == 0) {
            return;
        }
    }
}

bool WeightRollout::mayReadStore(const Zone &zone, Timestamp now) const
{
    if (now < m_storeRefusedUntil || served({}) >= m_settings.storeReads) {
        return false;
    }
    const auto seeds = std::count_if(zone.begin(), zone.end(), [this](const auto &name) {
        const auto &replica = m_replicas.at(name);
        const bool reads = replica.load && replica.load->source.empty() && replica.load->version == m_target;
        return reads || (replica.fromStore && isSource(replica));
    });
    return static_cast<std::size_t>(seeds) < m_settings.seedsPerZone;
}

std::string WeightRollout::chooseSource(const Zone &zone, const std::string &avoid) const
{
    std::string fallback;
    for (const auto &name : zone) {
        if (!isSource(m_replicas.at(name)) || served(name) >= m_settings.loadsPerSource) {
            continue;
        }
        if (name != avoid) {
            return name;
        }
        fallback = name;
    }
    return fallback;
}

std::size_t WeightRollout::served(const std::string &source) const
{
    const auto it = m_served.find(source);
    return it == m_served.end() ? 0 : it->second;
}

}
