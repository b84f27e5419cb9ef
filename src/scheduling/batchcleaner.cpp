#include "scheduling/batchcleaner.h"

#include "election/leaderelection.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Maximum number of keys removed in one store transaction.
constexpr std::size_t MaxKeysPerCommit = 30;

}

BatchCleaner::BatchCleaner(MetadataStore &store, EventLoop loop, EventLog &log, std::function<std::uint64_t()> term)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_log(log)
    , m_term(std::move(term))
{
}

void BatchCleaner::track(const BatchIndex &index)
{
    m_trackedBatches[index.id] = {Timestamp(index.submittedAtMs), index.ended};
}

void BatchCleaner::untrack(const std::string &id)
{
    m_trackedBatches.erase(id);
}

void BatchCleaner::clear()
{
    m_trackedBatches.clear();
}

bool BatchCleaner::isDue(const TrackedBatch &batch) const
{
    return batch.ended && m_loop.now() - batch.submittedAt > EndedRetention;
}

void BatchCleaner::poll()
{
    if (m_isRemoving || m_term() == 0) {
        return;
    }
    const auto it = std::find_if(m_trackedBatches.begin(), m_trackedBatches.end(), [this](const auto &entry) { return isDue(entry.second); });
    if (it == m_trackedBatches.end()) {
        return;
    }
    m_isRemoving = true;
    const auto &id = it->first;
    collect(id, {BatchRecords::submissionParts(id), BatchRecords::resultChunks(id)}, {}, {});
}

void BatchCleaner::collect(const std::string &id, std::vector<BatchRecords::NumberedRecords> ranges, const std::string &afterKey, std::vector<std::string> keys)
{
    if (ranges.empty()) {
        collectSingleRecords(id, std::move(keys));
        return;
    }
    m_store.list(ranges.back().prefix(), afterKey, [this, id, ranges, keys](const MetadataReply &reply) mutable {
        if (reply.status != MetadataStatus::Done) {
            finish(id, false);
            return;
        }
        for (const auto &item : reply.items) {
            if (ranges.back().contains(item.key)) {
                keys.push_back(item.key);
            }
        }
        const bool hasMore = reply.hasMore && !reply.items.empty();
        if (!hasMore) {
            ranges.pop_back();
        }
        collect(id, std::move(ranges), hasMore ? reply.items.back().key : std::string(), std::move(keys));
    });
}

void BatchCleaner::collectSingleRecords(const std::string &id, std::vector<std::string> keys)
{
    m_store.get(BatchRecords::progressKey(id), [this, id, keys = std::move(keys)](const MetadataReply &reply) mutable {
        if (reply.status != MetadataStatus::Done && reply.status != MetadataStatus::NotFound) {
            finish(id, false);
            return;
        }
        if (reply.status == MetadataStatus::Done) {
            keys.push_back(BatchRecords::progressKey(id));
        }
        // The index is removed last, so that an interrupted removal is repeated.
        keys.push_back(BatchRecords::indexKey(id));
        remove(id, std::move(keys));
    });
}

void BatchCleaner::remove(const std::string &id, std::vector<std::string> keys)
{
    if (keys.empty()) {
        finish(id, true);
        return;
    }
    const auto n = std::min(keys.size(), MaxKeysPerCommit);
    const MetadataChange change{{{LeaderElection::holderKey(), m_term()}}, {}, {keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(n)}};
    keys.erase(keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(n));
    m_store.commit(change, [this, id, keys = std::move(keys)](const MetadataReply &reply) {
        if (reply.status == MetadataStatus::Done) {
            remove(id, keys);
        } else {
            finish(id, false);
        }
    });
}

void BatchCleaner::finish(const std::string &id, bool removed)
{
    m_isRemoving = false;
    m_log.info(removed ? "batch_removed" : "batch_not_removed", {{"batch", id}});
    if (removed) {
        m_trackedBatches.erase(id);
    }
}

}
