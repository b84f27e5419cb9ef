#include "scheduling/resultwriter.h"

#include "batches/batchrecords.h"
#include "election/leaderelection.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr std::size_t MaxChunkBytes = 500 * 1000;
constexpr Milliseconds RetryDelay{100};
constexpr int MaxRetryFactor = 4;

std::int64_t flushSlot(Timestamp time)
{
    return time.milliseconds() / ResultWriter::FlushInterval.count();
}

}

ResultWriter::ResultWriter(MetadataStore &store, EventLoop loop, EventLog &log, std::shared_ptr<OpenBatch> batch, Hooks hooks)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_log(log)
    , m_batch(std::move(batch))
    , m_hooks(std::move(hooks))
    , m_lastWriteAt(m_loop.now())
{
}

void ResultWriter::poll()
{
    const bool isDue = flushSlot(m_loop.now()) != flushSlot(m_lastWriteAt) || m_batch->isDecided();
    if (m_stopped || m_isWriting || !m_batch->hasPending() || !isDue || m_hooks.term() == 0) {
        return;
    }
    // A chunk that may have been written is repeated unchanged.
    if (m_chunk.empty()) {
        m_chunkResults = m_batch->nextResults(MaxChunkBytes);
        m_chunk = BatchRecords::encodeChunk({m_batch->index().workspace, m_batch->index().itemCount, m_chunkResults});
        m_chunkSentAt = m_loop.now();
    }
    m_failures = 0;
    m_isWriting = true;
    commit();
}

void ResultWriter::stop()
{
    m_stopped = true;
}

bool ResultWriter::hasUnconfirmedWrite() const
{
    return !m_chunk.empty() && m_loop.now() - m_chunkSentAt >= ConfirmTimeout;
}

void ResultWriter::commit()
{
    const auto term = m_hooks.term();
    if (m_stopped || term == 0) {
        m_isWriting = false;
        return;
    }
    const auto key = BatchRecords::resultKey(m_batch->index().id, m_batch->listedCount());
    const MetadataChange change{{{LeaderElection::holderKey(), term}, {key, 0}}, {{key, m_chunk, 0}}, {}};
    m_store.commit(change, [self = shared_from_this()](const MetadataReply &reply) {
        if (!self->m_stopped) {
            self->acceptReply(reply);
        }
    });
}

void ResultWriter::acceptReply(const MetadataReply &reply)
{
    if (reply.status == MetadataStatus::Done) {
        finishChunk();
    } else if (reply.status == MetadataStatus::Conflict) {
        acceptConflict(reply);
    } else {
        retryLater(reply.status);
    }
}

void ResultWriter::acceptConflict(const MetadataReply &reply)
{
    const auto key = BatchRecords::resultKey(m_batch->index().id, m_batch->listedCount());
    const auto it = std::find_if(reply.items.begin(), reply.items.end(), [&key](const MetadataItem &item) { return item.key == key && item.revision > 0; });
    if (it == reply.items.end()) {
        // The leadership has changed; this process is notified by its own watch.
        retryLater(reply.status);
        return;
    }
    if (it->value == m_chunk) {
        finishChunk();
        return;
    }
    m_log.warning("results_overwritten", {{"batch", m_batch->index().id}, {"position", m_batch->listedCount()}});
    m_isWriting = false;
    m_stopped = true;
    m_hooks.onListedElsewhere();
}

void ResultWriter::finishChunk()
{
    m_lastWriteAt = m_loop.now();
    m_batch->markListed(m_chunkResults.size());
    m_isWriting = false;
    if (m_hooks.onListed) {
        m_hooks.onListed(m_chunkResults);
    }
    m_log.info("results_listed",
               {{"batch", m_batch->index().id}, {"results", m_chunkResults.size()}, {"listed", m_batch->listedCount()}, {"of", m_batch->index().itemCount}});
    m_chunk.clear();
    m_chunkResults.clear();
    poll();
}

void ResultWriter::retryLater(MetadataStatus status)
{
    ++m_failures;
    m_log.warning("results_not_listed", {{"batch", m_batch->index().id}, {"store", metadataStatusName(status)}, {"tries", m_failures}});
    m_loop.runAfter(RetryDelay * std::min(m_failures, MaxRetryFactor), [self = shared_from_this()] { self->commit(); });
}

}
