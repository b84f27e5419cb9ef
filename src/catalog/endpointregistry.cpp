#include "catalog/endpointregistry.h"

#include <set>

namespace Basilbend
{

void EndpointRegistry::put(const EndpointRecord &record)
{
    auto &entry = m_entries[record.id];
    entry = {record, std::nullopt};
    const auto it = m_leaving.find(record.id);
    if (it == m_leaving.end()) {
        return;
    }
    if (it->second == record.startedAtMs) {
        entry.record.isDraining = true;
    } else {
        m_leaving.erase(it);
    }
}

bool EndpointRegistry::noteLeaving(const std::string &id, std::int64_t startedAtMs)
{
    const auto it = m_entries.find(id);
    const bool isOlderStart = it != m_entries.end() && it->second.record.startedAtMs != startedAtMs;
    if (isOlderStart) {
        return false;
    }
    const bool isNews = m_leaving.insert_or_assign(id, startedAtMs).second;
    if (it != m_entries.end()) {
        it->second.record.isDraining = true;
    }
    return isNews;
}

bool EndpointRegistry::holdsRemovals(Timestamp now) const
{
    return !m_storeReachable || (m_storeBackAt && now < *m_storeBackAt + ReturnTime);
}

void EndpointRegistry::remove(const std::string &id, Timestamp now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return;
    }
    if (holdsRemovals(now) && !it->second.record.isDraining) {
        it->second.droppedAt = now;
        return;
    }
    m_entries.erase(it);
}

void EndpointRegistry::replaceAll(const std::vector<EndpointRecord> &records, Timestamp now)
{
    std::set<std::string> listed;
    for (const auto &record : records) {
        listed.insert(record.id);
        put(record);
    }
    std::vector<std::string> missing;
    for (const auto &[id, entry] : m_entries) {
        if (listed.count(id) == 0) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        remove(id, now);
    }
}

void EndpointRegistry::noteStoreReachable(bool reachable, Timestamp now)
{
    if (reachable && !m_storeReachable) {
        m_storeBackAt = now;
    }
    m_storeReachable = reachable;
}

std::vector<std::string> EndpointRegistry::expire(Timestamp now)
{
    std::vector<std::string> dropped;
    if (holdsRemovals(now)) {
        return dropped;
    }
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (it->second.droppedAt) {
            dropped.push_back(it->first);
            it = m_entries.erase(it);
        } else {
            ++it;
        }
    }
    return dropped;
}

const EndpointRecord *EndpointRegistry::find(const std::string &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.record;
}

std::vector<const EndpointRecord *> EndpointRegistry::readyOf(const std::string &service) const
{
    std::vector<const EndpointRecord *> ready;
    for (const auto &[id, entry] : m_entries) {
        if (entry.record.service == service && !entry.record.isDraining) {
            ready.push_back(&entry.record);
        }
    }
    return ready;
}

std::vector<const EndpointRecord *> EndpointRegistry::all() const
{
    std::vector<const EndpointRecord *> records;
    for (const auto &[id, entry] : m_entries) {
        records.push_back(&entry.record);
    }
    return records;
}

}
