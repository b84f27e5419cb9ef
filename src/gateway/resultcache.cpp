#include "gateway/resultcache.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr Milliseconds RetryDelay{60};
/// How long a read waits for the metadata store beyond the time for which it may wait for a result.
constexpr Milliseconds StoreTimeout{1000};
constexpr Milliseconds MaxWatchTime{2000};
constexpr Milliseconds MinWatchTime{20};

}

ResultCache::ResultCache(GatewayContext &context)
    : m_context(context)
{
}

void ResultCache::read(const std::string &batch, std::size_t position, Milliseconds wait, Callback callback)
{
    auto &entry = m_entries[batch];
    if (!entry) {
        entry = std::make_shared<Entry>();
        entry->batch = batch;
    }
    const auto now = m_context.loop.now();
    entry->lastRead = now;
    entry->pendingReads.push_back({position, now + wait, std::move(callback), now});
    // Ends the wait even if the store does not respond.
    m_context.loop.runAfter(std::max(wait, StoreTimeout), [this, held = entry] { serveReads(held); });
    serveReads(EntryPtr(entry));
}

bool ResultCache::hasCurrentListing(const Entry &entry, const PendingRead &pending) const
{
    // A listing requested before the read started may lack results that other readers have seen since, even if its response arrives
    // later.
    return entry.listedAt && *entry.listedAt >= pending.startedAt && m_context.loop.now() - *entry.listedAt < ListingMaxAge;
}

void ResultCache::serveReads(const EntryPtr &entry)
{
    const auto now = m_context.loop.now();
    auto pendingReads = std::move(entry->pendingReads);
    entry->pendingReads.clear();
    for (auto &pending : pendingReads) {
        const bool isReady = entry->exists && (pending.position < entry->results.size() || pending.position >= entry->itemCount);
        const bool isOver = now >= pending.deadline;
        if (isReady || (isOver && entry->exists && hasCurrentListing(*entry, pending))) {
            respond(*entry, pending, ResultPage::Kind::Found);
        } else if (now >= pending.deadline + StoreTimeout) {
            respond(*entry, pending, ResultPage::Kind::Unavailable);
        } else {
            entry->pendingReads.push_back(std::move(pending));
        }
    }
    if (entry->pendingReads.empty() || entry->hasPendingStoreCall) {
        evict();
        return;
    }
    // A listing with results proves that the batch exists; an empty listing does not.
    if (!entry->exists && entry->revision > 0) {
        readIndex(entry);
        return;
    }
    const bool needsList =
        entry->revision == 0 || std::any_of(entry->pendingReads.begin(), entry->pendingReads.end(), [this, &entry, now](const PendingRead &pending) {
            return now >= pending.deadline && !hasCurrentListing(*entry, pending);
        });
    if (needsList) {
        listResults(entry);
    } else {
        watchResults(entry);
    }
}

void ResultCache::readIndex(const EntryPtr &entry)
{
    entry->hasPendingStoreCall = true;
    m_context.store.get(BatchRecords::indexKey(entry->batch), [this, entry, sentAt = m_context.loop.now()](const MetadataReply &reply) {
        entry->hasPendingStoreCall = false;
        if (reply.status == MetadataStatus::NotFound) {
            respondNotFound(entry, sentAt);
            return;
        }
        auto index = reply.status == MetadataStatus::Done && !reply.items.empty() ? BatchRecords::decodeIndex(reply.items.front().value)
                                                                                  : Result<BatchIndex>(Error{ResultCode::StoreUnavailable, {}});
        if (!index) {
            retryLater(entry, reply.status);
            return;
        }
        entry->workspace = index.value().workspace;
        entry->itemCount = index.value().itemCount;
        entry->exists = true;
        serveReads(entry);
    });
}

void ResultCache::listResults(const EntryPtr &entry)
{
    entry->hasPendingStoreCall = true;
    const auto records = BatchRecords::resultChunks(entry->batch);
    const auto afterKey = entry->results.empty() ? std::string() : records.keyAt(entry->results.size() - 1);
    m_context.store.list(
        records.prefix(), afterKey, [this, entry, sentAt = m_context.loop.now()](const MetadataReply &reply) { handleList(entry, reply, sentAt); });
}

void ResultCache::handleList(const EntryPtr &entry, const MetadataReply &reply, Timestamp sentAt)
{
    entry->hasPendingStoreCall = false;
    if (reply.status != MetadataStatus::Done) {
        retryLater(entry, reply.status);
        return;
    }
    append(*entry, reply.items);
    if (reply.hasMore && !reply.items.empty()) {
        listResults(entry);
        return;
    }
    entry->revision = std::max(entry->revision, reply.revision);
    entry->listedAt = sentAt;
    serveReads(entry);
}

void ResultCache::watchResults(const EntryPtr &entry)
{
    const auto now = m_context.loop.now();
    auto until = now + MinWatchTime;
    for (const auto &pending : entry->pendingReads) {
        until = std::max(until, pending.deadline);
    }
    const auto span = std::min(MaxWatchTime, until - now);
    entry->hasPendingStoreCall = true;
    m_context.store.watch(
        BatchRecords::resultChunks(entry->batch).prefix(), entry->revision, span, [this, entry](const MetadataReply &reply) { handleWatch(entry, reply); });
}

void ResultCache::handleWatch(const EntryPtr &entry, const MetadataReply &reply)
{
    entry->hasPendingStoreCall = false;
    if (reply.status == MetadataStatus::HistoryGone) {
        entry->revision = 0;
        serveReads(entry);
        return;
    }
    if (reply.status != MetadataStatus::Done) {
        retryLater(entry, reply.status);
        return;
    }
    const bool contiguous = append(*entry, reply.items);
    // An empty watch response neither advances the revision nor proves that no result exists: a watch may miss a change for a moment,
    // and the next call from the same revision returns it.
    if (!reply.items.empty()) {
        entry->revision = contiguous ? std::max(entry->revision, reply.revision) : 0;
    }
    serveReads(entry);
}

bool ResultCache::append(Entry &entry, const std::vector<MetadataItem> &items)
{
    bool contiguous = true;
    const auto records = BatchRecords::resultChunks(entry.batch);
    for (const auto &item : items) {
        const auto position = records.numberOf(item.key);
        if (item.isRemoval || !position || *position < entry.results.size()) {
            continue;
        }
        auto chunk = BatchRecords::decodeChunk(item.value);
        if (*position > entry.results.size() || !chunk) {
            m_context.log.warning("results_unreadable", {{"key", item.key}, {"known", entry.results.size()}});
            contiguous = false;
            continue;
        }
        entry.workspace = chunk.value().workspace;
        entry.itemCount = chunk.value().itemCount;
        entry.exists = true;
        for (auto &result : chunk.value().results) {
            entry.bytes += result.text.size();
            m_bytes += result.text.size();
            entry.results.push_back(std::move(result));
        }
    }
    return contiguous;
}

void ResultCache::retryLater(const EntryPtr &entry, MetadataStatus status)
{
    m_context.log.warning("results_not_read", {{"batch", entry->batch}, {"store", metadataStatusName(status)}, {"waiting", entry->pendingReads.size()}});
    entry->hasPendingStoreCall = true;
    m_context.loop.runAfter(RetryDelay, [this, entry] {
        entry->hasPendingStoreCall = false;
        serveReads(entry);
    });
}

void ResultCache::respond(Entry &entry, const PendingRead &pending, ResultPage::Kind kind)
{
    ResultPage page;
    page.kind = kind;
    page.workspace = entry.workspace;
    page.itemCount = entry.itemCount;
    for (auto i = pending.position; i < entry.results.size() && kind == ResultPage::Kind::Found; ++i) {
        page.results.push_back(&entry.results[i]);
    }
    pending.callback(page);
}

void ResultCache::respondNotFound(const EntryPtr &entry, Timestamp requestedAt)
{
    const auto pendingReads = std::move(entry->pendingReads);
    entry->pendingReads.clear();
    for (const auto &pending : pendingReads) {
        // The batch may have been accepted between the store request and a read that started after it.
        if (pending.startedAt > requestedAt) {
            entry->pendingReads.push_back(pending);
        } else {
            respond(*entry, pending, ResultPage::Kind::NoSuchBatch);
        }
    }
    if (entry->pendingReads.empty()) {
        m_entries.erase(entry->batch);
    } else {
        serveReads(entry);
    }
}

void ResultCache::evict()
{
    while (m_bytes > MaxBytes || m_entries.size() > MaxEntries) {
        auto oldest = m_entries.end();
        for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
            const bool isIdle = it->second->pendingReads.empty() && !it->second->hasPendingStoreCall;
            if (isIdle && (oldest == m_entries.end() || it->second->lastRead < oldest->second->lastRead)) {
                oldest = it;
            }
        }
        if (oldest == m_entries.end()) {
            return;
        }
        m_bytes -= oldest->second->bytes;
        m_entries.erase(oldest);
    }
}

}
