#include "gateway/resultcache.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr Milliseconds RetryPause{60};
/// How long a read that may not wait for a result still waits for the store.
constexpr Milliseconds StorePatience{1000};
constexpr Milliseconds LongestWatch{2000};
constexpr Milliseconds ShortestWatch{20};

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
    entry->waiters.push_back({position, now + wait, std::move(callback), now});
    // Ends the wait when nothing came, even if the store is silent.
    m_context.loop.runAfter(std::max(wait, StorePatience), [this, kept = entry] { serve(kept); });
    serve(EntryPtr(entry));
}

bool ResultCache::isProven(const Entry &entry, const Waiter &waiter) const
{
    // A listing that was sent before the read began may miss what others have read since, however late its answer comes.
    return entry.listedAt && *entry.listedAt >= waiter.joinedAt && m_context.loop.now() - *entry.listedAt < ListingLife;
}

void ResultCache::serve(const EntryPtr &entry)
{
    const auto now = m_context.loop.now();
    auto waiters = std::move(entry->waiters);
    entry->waiters.clear();
    for (auto &waiter : waiters) {
        const bool isReady = entry->isKnown && (waiter.position < entry->results.size() || waiter.position >= entry->itemCount);
        const bool isOver = now >= waiter.until;
        if (isReady || (isOver && entry->isKnown && isProven(*entry, waiter))) {
            answer(*entry, waiter, ResultPage::Kind::Found);
        } else if (now >= waiter.until + StorePatience) {
            answer(*entry, waiter, ResultPage::Kind::Unsure);
        } else {
            entry->waiters.push_back(std::move(waiter));
        }
    }
    if (entry->waiters.empty() || entry->isBusy) {
        evict();
        return;
    }
    // A listing with results also tells that the batch exists; only an empty one says nothing of it.
    if (!entry->isKnown && entry->revision > 0) {
        readIndex(entry);
        return;
    }
    const bool needsList = entry->revision == 0 || std::any_of(entry->waiters.begin(), entry->waiters.end(), [this, &entry, now](const Waiter &waiter) {
                               return now >= waiter.until && !isProven(*entry, waiter);
                           });
    if (needsList) {
        listResults(entry);
    } else {
        watchResults(entry);
    }
}

void ResultCache::readIndex(const EntryPtr &entry)
{
    entry->isBusy = true;
    m_context.store.get(BatchRecords::indexKey(entry->batch), [this, entry, sentAt = m_context.loop.now()](const MetadataReply &reply) {
        entry->isBusy = false;
        if (reply.status == MetadataStatus::NotFound) {
            answerMissing(entry, sentAt);
            return;
        }
        auto index = reply.status == MetadataStatus::Done && !reply.items.empty() ? BatchRecords::decodeIndex(reply.items.front().value)
                                                                                  : Result<BatchIndex>(Error{ResultCode::StoreUnavailable, {}});
        if (!index) {
            failStep(entry, reply.status);
            return;
        }
        entry->workspace = index.value().workspace;
        entry->itemCount = index.value().itemCount;
        entry->isKnown = true;
        serve(entry);
    });
}

void ResultCache::listResults(const EntryPtr &entry)
{
    entry->isBusy = true;
    const auto afterKey = entry->results.empty() ? std::string() : BatchRecords::resultKey(entry->batch, entry->results.size() - 1);
    m_context.store.list(BatchRecords::resultPrefix(entry->batch), afterKey, [this, entry, sentAt = m_context.loop.now()](const MetadataReply &reply) {
        acceptList(entry, reply, sentAt);
    });
}

void ResultCache::acceptList(const EntryPtr &entry, const MetadataReply &reply, Timestamp sentAt)
{
    entry->isBusy = false;
    if (reply.status != MetadataStatus::Done) {
        failStep(entry, reply.status);
        return;
    }
    append(*entry, reply.items);
    if (reply.hasMore && !reply.items.empty()) {
        listResults(entry);
        return;
    }
    entry->revision = std::max(entry->revision, reply.revision);
    entry->listedAt = sentAt;
    serve(entry);
}

void ResultCache::watchResults(const EntryPtr &entry)
{
    const auto now = m_context.loop.now();
    auto until = now + ShortestWatch;
    for (const auto &waiter : entry->waiters) {
        until = std::max(until, waiter.until);
    }
    const auto span = std::min(LongestWatch, until - now);
    entry->isBusy = true;
    m_context.store.watch(
        BatchRecords::resultPrefix(entry->batch), entry->revision, span, [this, entry](const MetadataReply &reply) { acceptWatch(entry, reply); });
}

void ResultCache::acceptWatch(const EntryPtr &entry, const MetadataReply &reply)
{
    entry->isBusy = false;
    if (reply.status == MetadataStatus::HistoryGone) {
        entry->revision = 0;
        serve(entry);
        return;
    }
    if (reply.status != MetadataStatus::Done) {
        failStep(entry, reply.status);
        return;
    }
    const bool contiguous = append(*entry, reply.items);
    // An empty watch moves and proves nothing: a watch may miss a change for a moment, and the next call from here finds it.
    if (!reply.items.empty()) {
        entry->revision = contiguous ? std::max(entry->revision, reply.revision) : 0;
    }
    serve(entry);
}

bool ResultCache::append(Entry &entry, const std::vector<MetadataItem> &items)
{
    bool contiguous = true;
    for (const auto &item : items) {
        const auto position = BatchRecords::positionOfResultKey(item.key);
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
        entry.isKnown = true;
        for (auto &result : chunk.value().results) {
            entry.bytes += result.text.size();
            m_bytes += result.text.size();
            entry.results.push_back(std::move(result));
        }
    }
    return contiguous;
}

void ResultCache::failStep(const EntryPtr &entry, MetadataStatus status)
{
    m_context.log.warning("results_not_read", {{"batch", entry->batch}, {"store", metadataStatusName(status)}, {"waiting", entry->waiters.size()}});
    entry->isBusy = true;
    m_context.loop.runAfter(RetryPause, [this, entry] {
        entry->isBusy = false;
        serve(entry);
    });
}

void ResultCache::answer(Entry &entry, const Waiter &waiter, ResultPage::Kind kind)
{
    ResultPage page;
    page.kind = kind;
    page.workspace = entry.workspace;
    page.itemCount = entry.itemCount;
    for (auto i = waiter.position; i < entry.results.size() && kind == ResultPage::Kind::Found; ++i) {
        page.results.push_back(&entry.results[i]);
    }
    waiter.callback(page);
}

void ResultCache::answerMissing(const EntryPtr &entry, Timestamp askedAt)
{
    const auto waiters = std::move(entry->waiters);
    entry->waiters.clear();
    for (const auto &waiter : waiters) {
        // The batch may have been accepted between the question and a read that began after it.
        if (waiter.joinedAt > askedAt) {
            entry->waiters.push_back(waiter);
        } else {
            answer(*entry, waiter, ResultPage::Kind::NoSuchBatch);
        }
    }
    if (entry->waiters.empty()) {
        m_entries.erase(entry->batch);
    } else {
        serve(entry);
    }
}

void ResultCache::evict()
{
    while (m_bytes > MaxBytes || m_entries.size() > MaxEntries) {
        auto oldest = m_entries.end();
        for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
            const bool isIdle = it->second->waiters.empty() && !it->second->isBusy;
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
