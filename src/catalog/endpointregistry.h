#pragma once

#include "catalog/endpointrecord.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// Holds the endpoints and decides which of them may receive requests. Entries that expire while the metadata store is unreachable stay usable
/// until the endpoints have had time to register again, because such an expiry says nothing about the endpoint.
class EndpointRegistry
{
public:
    /// Adds or replaces an entry and cancels its deferred removal. An endpoint marked by markLeaving() stays draining until a
    /// record with another start time is put.
    void put(const EndpointRecord &record);

    /// Records that an endpoint has announced in a response that it is about to leave. It counts as draining until it
    /// restarts, whatever the metadata store still says. Returns whether this was not known before.
    bool markLeaving(const std::string &id, std::int64_t startedAtMs);

    /// Removes an entry that was deleted or can no longer be decoded.
    void remove(const std::string &id, Timestamp now);

    /// Replaces all entries by those of a full listing.
    void replaceAll(const std::vector<EndpointRecord> &records, Timestamp now);

    /// Sets whether the store answers. After an outage, removals are deferred for ReregistrationTime.
    void setStoreReachable(bool reachable, Timestamp now);

    /// Removes the entries whose deferred removal is due. Returns their ids.
    std::vector<std::string> removeExpired(Timestamp now);

    const EndpointRecord *find(const std::string &id) const;

    /// Sets the availability zones that the operator evacuates. Their endpoints get no new requests.
    void setEvacuatedZones(std::set<std::string> zones)
    {
        m_evacuatedZones = std::move(zones);
    }

    const std::set<std::string> &evacuatedZones() const
    {
        return m_evacuatedZones;
    }

    /// Whether new requests may be sent to the endpoint: it is neither draining nor in an evacuated zone.
    bool mayReceiveRequests(const EndpointRecord &record) const
    {
        return !record.isDraining && m_evacuatedZones.count(record.zone) == 0;
    }

    /// Returns the entries of a service that may receive requests.
    std::vector<const EndpointRecord *> readyEndpoints(const std::string &service) const;

    std::vector<const EndpointRecord *> all() const;

    std::size_t size() const
    {
        return m_entries.size();
    }

    /// Time after the end of an outage of the store within which live endpoints register again.
    static constexpr Milliseconds ReregistrationTime{2000};

private:
    struct Entry {
        EndpointRecord record;
        /// Set while the removal of the entry is deferred.
        std::optional<Timestamp> removedAt;
    };

    bool defersRemovals(Timestamp now) const;

    std::map<std::string, Entry> m_entries;
    /// Endpoints that have announced that they leave, with the start time at which they announced it.
    std::map<std::string, std::int64_t> m_leavingStarts;
    std::set<std::string> m_evacuatedZones;
    bool m_isStoreReachable = true;
    std::optional<Timestamp> m_storeRegainedAt;
};

}
