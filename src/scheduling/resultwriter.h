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

/// Lists the results of one batch in the metadata store, in chunks with ascending positions. A chunk is only written while
/// this process' leadership is the one in the store and nothing stands at its position, so no position is ever written
/// twice, whichever process runs the batch.
class ResultWriter : public std::enable_shared_from_this<ResultWriter>
{
public:
    struct Hooks {
        /// The fencing token of the leadership under which this process writes; zero: it may not write.
        std::function<std::uint64_t()> term;
        /// Another process has listed results of the batch; it must be read again.
        std::function<void()> onOverwritten;
        /// The store has acknowledged these results. May be null.
        std::function<void(const std::vector<ItemResult> &)> onListed = nullptr;
    };

    ResultWriter(MetadataStore &store, EventLoop loop, EventLog &log, std::shared_ptr<OpenBatch> batch, Hooks hooks);

    /// Writes pending results if it is time. To be called after each decided item and from time to time.
    void poll();

    /// Stops for good.
    void stop();

    /// Whether results may stand in the store whose write has not been acknowledged for DoubtTime.
    bool isInDoubt() const;

    /// Results are gathered for this time, unless the batch is done. The times of all batches end together, so that their
    /// chunks can go to the store in one call.
    static constexpr Milliseconds GatherTime{300};

    /// Others may read results this long before the write is acknowledged here.
    static constexpr Milliseconds DoubtTime{300};

private:
    void commit();
    void acceptReply(const MetadataReply &reply);
    void acceptConflict(const MetadataReply &reply);
    void noteWritten();
    void retryLater(MetadataStatus status);

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    std::shared_ptr<OpenBatch> m_batch;
    Hooks m_hooks;
    /// The chunk under way: repeated unchanged until its fate is known.
    std::string m_chunk;
    std::vector<ItemResult> m_chunkResults;
    /// The first write of the chunk was sent at this time.
    Timestamp m_chunkSentAt;
    bool m_isWriting = false;
    bool m_stopped = false;
    int m_failures = 0;
    Timestamp m_lastWrite;
};

}
