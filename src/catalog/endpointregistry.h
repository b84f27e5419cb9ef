#pragma once

#include "catalog/endpointrecord.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// The endpoints that may get work. Entries that lapse while the metadata store is away stay usable until the endpoints had
/// time to register again, because the lapse says nothing of the endpoint.
class EndpointRegistry
{
public:
    /// Adds or replaces an entry.
    void put(const EndpointRecord &record);

    /// An endpoint has said in an answer that it is about to leave: it counts as draining until it starts anew, whatever the
    /// metadata store still says. Returns whether that is news.
    bool markLeaving(const std::string &id, std::int64_t startedAtMs);

    /// An entry is gone, or no longer readable.
    void remove(const std::string &id, Timestamp now);

    /// Replaces all entries by a full listing.
    void replaceAll(const std::vector<EndpointRecord> &records, Timestamp now);

    /// Whether the store answers. After it has been away, removals wait for ReregistrationTime.
    void setStoreReachable(bool reachable, Timestamp now);

    /// Drops entries whose time to return is over. Returns the ids that were dropped.
    std::vector<std::string> expire(Timestamp now);

    const EndpointRecord *find(const std::string &id) const;

    /// Entries of a service that are not draining.
    std::vector<const EndpointRecord *> readyEndpoints(const std::string &service) const;

    std::vector<const EndpointRecord *> all() const;

    std::size_t size() const
    {
        return m_entries.size();
    }

    /// Lapsed entries are back within this time after the store's return, if their endpoint lives.
    static constexpr Milliseconds ReregistrationTime{2000};

private:
    struct Entry {
        EndpointRecord record;
        /// Set while the entry waits for its return.
        std::optional<Timestamp> removedAt;
    };

    bool defersRemovals(Timestamp now) const;

    std::map<std::string, Entry> m_entries;
    /// Endpoints that said that they leave, with the start in which they said it.
    std::map<std::string, std::int64_t> m_leavingStarts;
    bool m_isStoreReachable = true;
    std::optional<Timestamp> m_storeRegainedAt;
};

}
