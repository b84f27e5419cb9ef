#pragma once

#include "base/eventloop.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"
#include "scheduling/openbatch.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// Lists the results of one batch in the metadata store, in chunks with ascending positions. A chunk is written only while
/// the leadership of this process is the one in the store and there is nothing at its position, so no position is written
/// twice, whichever process runs the batch.
class ResultWriter : public std::enable_shared_from_this<ResultWriter>
{
public:
    struct Hooks {
        /// Fencing token of the leadership under which this process writes; zero if it may not write.
        std::function<std::uint64_t()> term;
        /// Called when another process has listed results of the batch; the batch must be read again.
        std::function<void()> onListedElsewhere;
        /// Called when the store has acknowledged these results. May be null.
        std::function<void(const std::vector<ItemResult> &)> onListed = nullptr;
    };

    ResultWriter(MetadataStore &store, EventLoop loop, EventLog &log, std::shared_ptr<OpenBatch> batch, Hooks hooks);

    /// Writes pending results if they are due. Must be called after each decided item and regularly.
    void poll();

    /// Stops writing permanently.
    void stop();

    /// Whether a write has not been acknowledged for ConfirmTimeout, so that the store may hold results that are not known
    /// here.
    bool hasUnconfirmedWrite() const;

    /// Interval in which results are collected, unless the batch is done. The intervals of all batches end together, so
    /// that their chunks can be sent to the store in one call.
    static constexpr Milliseconds FlushInterval{300};

    /// Others may read results for this long before the write is acknowledged here.
    static constexpr Milliseconds ConfirmTimeout{300};

private:
    void commit();
    void acceptReply(const MetadataReply &reply);
    void acceptConflict(const MetadataReply &reply);
    void finishChunk();
    void retryLater(MetadataStatus status);

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    std::shared_ptr<OpenBatch> m_batch;
    Hooks m_hooks;
    /// Chunk that is being written; repeated unchanged until its outcome is known.
    std::string m_chunk;
    std::vector<ItemResult> m_chunkResults;
    /// Time of the first attempt to write the chunk.
    Timestamp m_chunkSentAt;
    bool m_isWriting = false;
    bool m_stopped = false;
    int m_failures = 0;
    Timestamp m_lastWriteAt;
};

}
