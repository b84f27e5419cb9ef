#include "catalog/endpointregistry.h"

#include <set>

namespace Basilbend
{

void EndpointRegistry::put(const EndpointRecord &record)
{
    auto &entry = m_entries[record.id];
    entry = {record, std::nullopt};
    const auto it = m_leavingStarts.find(record.id);
    if (it == m_leavingStarts.end()) {
        return;
    }
    if (it->second == record.startedAtMs) {
        entry.record.isDraining = true;
    } else {
        m_leavingStarts.erase(it);
    }
}

bool EndpointRegistry::markLeaving(const std::string &id, std::int64_t startedAtMs)
{
    const auto it = m_entries.find(id);
    const bool isOtherStart = it != m_entries.end() && it->second.record.startedAtMs != startedAtMs;
    if (isOtherStart) {
        return false;
    }
    const bool isNew = m_leavingStarts.insert_or_assign(id, startedAtMs).second;
    if (it != m_entries.end()) {
        it->second.record.isDraining = true;
    }
    return isNew;
}

bool EndpointRegistry::defersRemovals(Timestamp now) const
{
    return !m_isStoreReachable || (m_storeRegainedAt && now < *m_storeRegainedAt + ReregistrationTime);
}

void EndpointRegistry::remove(const std::string &id, Timestamp now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return;
    }
    if (defersRemovals(now) && !it->second.record.isDraining) {
        it->second.removedAt = now;
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

void EndpointRegistry::setStoreReachable(bool reachable, Timestamp now)
{
    if (reachable && !m_isStoreReachable) {
        m_storeRegainedAt = now;
    }
    m_isStoreReachable = reachable;
}

std::vector<std::string> EndpointRegistry::removeExpired(Timestamp now)
{
    std::vector<std::string> expired;
    if (defersRemovals(now)) {
        return expired;
    }
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (it->second.removedAt) {
            expired.push_back(it->first);
            it = m_entries.erase(it);
        } else {
            ++it;
        }
    }
    return expired;
}

const EndpointRecord *EndpointRegistry::find(const std::string &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.record;
}

std::vector<const EndpointRecord *> EndpointRegistry::readyEndpoints(const std::string &service) const
{
    std::vector<const EndpointRecord *> ready;
    for (const auto &[id, entry] : m_entries) {
        if (entry.record.service == service && mayReceiveRequests(entry.record)) {
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
