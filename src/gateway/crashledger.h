#pragma once

#include "base/eventloop.h"
#include "forwarding/crashhistory.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"
#include "metadata/publishedfeed.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace Basilbend
{

struct CrashLedgerHooks {
    /// A crash that another gateway, or this one before a restart, has recorded.
    std::function<void(const EndpointCrash &)> onRecorded;
    /// A record was removed: an endpoint has answered the request, or the record has expired.
    std::function<void(const RequestFingerprint &, const EndpointStart &)> onRemoved;
};

/// Shares the crashes of endpoints with the other gateways through the metadata store. Records are bound to a lease that nobody renews,
/// so they expire without a process that cleans up. Writes are repeated until the store has acknowledged them.
class CrashLedger
{
public:
    CrashLedger(MetadataStore &store, EventLoop loop, EventLog &log, CrashLedgerHooks hooks);

    void start();

    /// The feed of the records, to be shared with other gateways before start().
    PublishedFeed &feed()
    {
        return m_feed;
    }

    void record(const EndpointCrash &crash);

    /// Removes the records of a request.
    void remove(const RequestFingerprint &request, const std::vector<EndpointStart> &endpoints);

    /// Span of the lease of new records; also the longest one that the store allows.
    static constexpr Milliseconds LeaseSpan{600000};
    /// A lease is used for new records for this long, so that a record lasts for at least half of LeaseSpan.
    static constexpr Milliseconds LeaseUse{300000};
    /// Maximum number of changes that wait for the store; the oldest are dropped.
    static constexpr std::size_t MaxQueuedChanges = 512;
    /// Changes that one call to the store may hold.
    static constexpr std::size_t MaxChangesPerCommit = 32;

private:
    /// A record to be written, or one to be removed if it has no value.
    struct Change {
        std::string key;
        std::optional<std::string> value;
    };

    PrefixFeedHooks feedHooks();
    void apply(const MetadataItem &item);
    void enqueue(Change change);
    void writeNext();
    void createLease();
    void commitQueued();
    void retryLater();

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    CrashLedgerHooks m_hooks;
    PublishedFeed m_feed;
    std::deque<Change> m_queue;
    bool m_isWriting = false;
    std::uint64_t m_lease = 0;
    Timestamp m_leaseCreatedAt;
};

}
