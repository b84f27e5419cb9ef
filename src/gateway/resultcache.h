#pragma once

#include "batches/batchrecords.h"
#include "gateway/gatewaycontext.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// Response to a read of results.
struct ResultPage {
    /// Found: the batch exists, and the page holds the results in the metadata store. Unavailable: the store did not respond.
    enum class Kind {
        Found,
        NoSuchBatch,
        Unavailable,
    };

    Kind kind = Kind::Unavailable;
    std::string workspace;
    std::size_t itemCount = 0;
    /// Results from the requested position on. The pointers are valid only during the callback.
    std::vector<const ItemResult *> results;
};

/// Reads results of batches from the metadata store and caches them. Listed results never change, so they are read again only after
/// they were evicted. Whether there are further results is checked with the store at each read.
class ResultCache
{
public:
    using Callback = std::function<void(const ResultPage &)>;

    explicit ResultCache(GatewayContext &context);

    /// Calls the callback once there is a result at the position, or when the wait is over.
    void read(const std::string &batch, std::size_t position, Milliseconds wait, Callback callback);

    /// Limit for the cached result texts in bytes. The least recently read batch is evicted first.
    static constexpr std::size_t MaxBytes = 12 * 1024 * 1024;
    static constexpr std::size_t MaxEntries = 1000;

    /// Maximum age at which a listing still shows that there are no further results. Readers may compare responses of several gateways
    /// that are a second apart.
    static constexpr Milliseconds ListingMaxAge{700};

private:
    struct PendingRead {
        std::size_t position = 0;
        Timestamp deadline;
        Callback callback;
        Timestamp startedAt;
    };

    struct Entry {
        std::string batch;
        /// Workspace and item count are valid only if the batch is known to exist.
        std::string workspace;
        std::size_t itemCount = 0;
        bool exists = false;
        std::vector<ItemResult> results;
        std::size_t bytes = 0;
        /// Revision of the store up to which results are cached; zero: never listed.
        std::uint64_t revision = 0;
        /// Time at which the last complete listing was requested. At that time there were no results beyond the cached ones.
        std::optional<Timestamp> listedAt;
        Timestamp lastRead;
        std::vector<PendingRead> pendingReads;
        /// A store call for this batch is in progress or will be retried after a delay.
        bool hasPendingStoreCall = false;
    };

    using EntryPtr = std::shared_ptr<Entry>;

    /// Whether a recent listing shows that there is no result at the position of the read.
    bool hasCurrentListing(const Entry &entry, const PendingRead &pending) const;
    void serveReads(const EntryPtr &entry);
    void readIndex(const EntryPtr &entry);
    void listResults(const EntryPtr &entry);
    void handleList(const EntryPtr &entry, const MetadataReply &reply, Timestamp sentAt);
    void watchResults(const EntryPtr &entry);
    void handleWatch(const EntryPtr &entry, const MetadataReply &reply);
    bool append(Entry &entry, const std::vector<MetadataItem> &items);
    void retryLater(const EntryPtr &entry, MetadataStatus status);
    void respond(Entry &entry, const PendingRead &pending, ResultPage::Kind kind);
    /// Responds that the batch does not exist to the reads that started before the store was asked.
    void respondNotFound(const EntryPtr &entry, Timestamp requestedAt);
    void evict();

    GatewayContext &m_context;
    std::map<std::string, EntryPtr> m_entries;
    std::size_t m_bytes = 0;
};

}
