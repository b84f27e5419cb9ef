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
    void readPage(const BatchRecords::NumberedRecords &records, const std::string &afterKey, std::vector<MetadataItem> &items, std::function<void()> then);
    void readProgress();
    void acceptProgress(const std::string &text);
    /// Called when the submission or the results have been read.
    void finishRead();
    void readResults();
    void retryLater(std::function<void()> step);
    void finish();
    /// Decodes the submission from its parts, which are then freed.
    void decodeParts();
    /// Whether the results that the progress record names are those of the submission, and the results read follow them.
    bool isProgressConsistent(const BatchSubmission &submission) const;
    Result<LoadedBatch> decode(BatchSubmission submission);

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    BatchIndex m_index;
    Callback m_callback;
    std::vector<MetadataItem> m_parts;
    std::vector<MetadataItem> m_chunks;
    ProgressRecord m_progress;
    /// The error until the submission has been read.
    Result<BatchSubmission> m_submission = Error{ResultCode::InternalError, "the submission has not been read"};
    int m_failures = 0;
    /// Outstanding reads of the submission and of the results.
    int m_outstandingReads = 0;
};

}
