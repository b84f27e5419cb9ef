#pragma once

#include "base/eventloop.h"
#include "batches/batchrecords.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"
#include "scheduling/openbatch.h"
#include "scheduling/progressrecord.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// A batch as read from the store.
struct LoadedBatch {
    std::shared_ptr<OpenBatch> batch;
    /// Texts that an earlier leader generated for unfinished items.
    std::vector<ResumableText> progress;
};

/// Reads a batch and its listed results from the metadata store; retries until the store responds.
class BatchLoader : public std::enable_shared_from_this<BatchLoader>
{
public:
    using Callback = std::function<void(Result<LoadedBatch>)>;

    BatchLoader(MetadataStore &store, EventLoop loop, EventLog &log, BatchIndex index, Callback callback);

    void start();

    /// Cancels the load; the callback is not called any more.
    void cancel();

private:
    void readPage(const std::string &prefix, const std::string &afterKey, std::vector<MetadataItem> &items, std::function<void()> then);
    void acceptProgress();
    /// Called when the submission or the results have been read.
    void finishRead();
    void readResults();
    void finish();
    Result<LoadedBatch> decode();

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    BatchIndex m_index;
    Callback m_callback;
    std::vector<MetadataItem> m_parts;
    std::vector<MetadataItem> m_chunks;
    std::vector<MetadataItem> m_progressItems;
    ProgressRecord m_progress;
    int m_failures = 0;
    /// Outstanding reads of the submission and of the results.
    int m_outstandingReads = 0;
};

}
