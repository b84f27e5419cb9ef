#pragma once

#include "base/eventloop.h"
#include "batches/batch.h"
#include "batches/batchrecords.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// Removes ended batches from the metadata store once clients can no longer request them, one at a time and with the index last. An
/// open batch is kept, however old it is.
class BatchCleaner
{
public:
    /// term: the fencing token of the leadership; nothing is removed while it is zero.
    BatchCleaner(MetadataStore &store, EventLoop loop, EventLog &log, std::function<std::uint64_t()> term);

    /// Must be called for each index that the store holds.
    void track(const BatchIndex &index);
    void untrack(const std::string &id);

    /// Starts the removal of a batch that is due, if no removal is in progress. Must be called regularly.
    void poll();

    void clear();

    /// Time after submission until which the results of an ended batch are readable.
    static constexpr Milliseconds EndedRetention{180 * 1000};

private:
    struct TrackedBatch {
        Timestamp submittedAt;
        bool ended = false;
    };

    bool isDue(const TrackedBatch &batch) const;
    /// Lists the keys of the ranges, after afterKey in the last one, and removes them with those given.
    void collect(const std::string &id, std::vector<BatchRecords::NumberedRecords> ranges, const std::string &afterKey, std::vector<std::string> keys);
    /// Adds the keys of the progress and of the index, and removes all.
    void collectSingleRecords(const std::string &id, std::vector<std::string> keys);
    void remove(const std::string &id, std::vector<std::string> keys);
    void finish(const std::string &id, bool removed);

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    std::function<std::uint64_t()> m_term;
    std::map<std::string, TrackedBatch> m_trackedBatches;
    bool m_isRemoving = false;
};

}
