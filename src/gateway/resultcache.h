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

/// The answer to a read of results.
struct ResultPage {
    /// Found: the batch exists and what is listed here is what the store holds. Unsure: the store did not answer.
    enum class Kind {
        Found,
        NoSuchBatch,
        Unavailable,
    };

    Kind kind = Kind::Unavailable;
    std::string workspace;
    std::size_t itemCount = 0;
    /// Results from the asked position on; valid during the call only.
    std::vector<const ItemResult *> results;
};

/// Reads results of batches from the metadata store for any gateway. Listed results never change, so they are kept in
/// memory and read again only when they were evicted; what is behind them is asked of the store at each read.
class ResultCache
{
public:
    using Callback = std::function<void(const ResultPage &)>;

    explicit ResultCache(GatewayContext &context);

    /// Answers as soon as a result stands at the position, or when the wait is over.
    void read(const std::string &batch, std::size_t position, Milliseconds wait, Callback callback);

    /// Bytes of result text kept; the batch that was read longest ago goes first.
    static constexpr std::size_t MaxBytes = 12 * 1024 * 1024;
    static constexpr std::size_t MaxEntries = 1000;

    /// A listing proves for this long that nothing stands behind it. Readers may compare answers of several gateways that are
    /// a second apart.
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
        /// What is known of the batch, once it is known to exist.
        std::string workspace;
        std::size_t itemCount = 0;
        bool exists = false;
        std::vector<ItemResult> results;
        std::size_t bytes = 0;
        /// The store's revision up to which results are known; zero: never listed.
        std::uint64_t revision = 0;
        /// No result stood behind the known ones when the last listing was sent.
        std::optional<Timestamp> listedAt;
        Timestamp lastRead;
        std::vector<PendingRead> pendingReads;
        /// A call to the store is under way.
        bool hasStoreCall = false;
    };

    using EntryPtr = std::shared_ptr<Entry>;

    /// Whether a read may be told that nothing stands at its position.
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
    /// The batch did not exist when the store was asked.
    void respondNotFound(const EntryPtr &entry, Timestamp requestedAt);
    void evict();

    GatewayContext &m_context;
    std::map<std::string, EntryPtr> m_entries;
    std::size_t m_bytes = 0;
};

}
