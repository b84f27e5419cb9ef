#include "spread/freshnessmonitor.h"

#include <algorithm>

namespace Basilbend
{

FreshnessMonitor::FreshnessMonitor(Milliseconds limit)
    : m_limit(limit)
{
}

void FreshnessMonitor::setZones(std::set<std::string> zones)
{
    m_zones = std::move(zones);
}

void FreshnessMonitor::note(const FreshnessStamp &stamp, Timestamp now)
{
    m_highestRevision = std::max(m_highestRevision, stamp.revision);
    if (stamp.age >= m_limit || stamp.age < Milliseconds(0)) {
        return;
    }
    const auto issuedAt = now - stamp.age;
    if (!stamp.storeReachable) {
        auto &seen = m_down[stamp.zone];
        if (seen.issuedAt < issuedAt) {
            seen = {issuedAt, stamp.revision};
        }
        return;
    }
    auto &seen = m_reached[stamp.revision];
    if (seen.second < issuedAt) {
        seen = {stamp.zone, issuedAt};
    }
    for (auto it = m_reached.begin(); it != m_reached.end();) {
        it = it->second.second + m_limit <= now ? m_reached.erase(it) : std::next(it);
    }
}

std::optional<Milliseconds> FreshnessMonitor::age(std::uint64_t ownRevision, Timestamp now) const
{
    std::optional<Milliseconds> youngest;
    for (auto it = m_reached.begin(); it != m_reached.end() && it->first <= ownRevision; ++it) {
        const auto span = now - it->second.second;
        if (span < m_limit && (!youngest || span < *youngest)) {
            youngest = span;
        }
    }
    return youngest;
}

Timestamp FreshnessMonitor::freshUntil(std::uint64_t ownRevision) const
{
    Timestamp until;
    for (auto it = m_reached.begin(); it != m_reached.end() && it->first <= ownRevision; ++it) {
        until = std::max(until, it->second.second + m_limit);
    }
    std::vector<Timestamp> down;
    for (const auto &[zone, seen] : m_down) {
        if (seen.revision <= ownRevision && m_zones.count(zone) > 0) {
            down.push_back(seen.issuedAt + m_limit);
        }
    }
    const auto majority = m_zones.size() / 2 + 1;
    if (!m_zones.empty() && ownRevision >= m_highestRevision && down.size() >= majority) {
        std::sort(down.begin(), down.end(), std::greater<>());
        until = std::max(until, down[majority - 1]);
    }
    return until;
}

std::vector<FreshnessStamp> FreshnessMonitor::stamps(Timestamp now) const
{
    std::vector<FreshnessStamp> list;
    // Youngest first from the highest revision down; an older stamp of a lower revision helps a process that lags.
    for (const auto &[revision, seen] : m_reached) {
        if (now - seen.second < m_limit) {
            list.push_back({seen.first, true, revision, now - seen.second});
        }
    }
    constexpr std::size_t MaxReached = 3;
    if (list.size() > MaxReached) {
        list.erase(list.begin(), list.end() - MaxReached);
    }
    for (const auto &[zone, seen] : m_down) {
        if (now - seen.issuedAt < m_limit) {
            list.push_back({zone, false, seen.revision, now - seen.issuedAt});
        }
    }
    return list;
}

}
