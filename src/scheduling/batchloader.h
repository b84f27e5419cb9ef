#pragma once

#include "base/eventloop.h"
#include "batches/batchrecords.h"
#include "metadata/metadatastore.h"
#include "scheduling/openbatch.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// A batch as the store holds it.
struct LoadedBatch {
    std::shared_ptr<OpenBatch> batch;
    /// What an earlier leader had generated of its long items.
    std::vector<KeptText> progress;
};

/// Reads a batch and its listed results from the metadata store; repeats until the store answers.
class BatchLoader : public std::enable_shared_from_this<BatchLoader>
{
public:
    using Callback = std::function<void(Result<LoadedBatch>)>;

    BatchLoader(MetadataStore &store, EventLoop loop, BatchIndex index, Callback callback);

    void start();

    /// The callback will not be called.
    void cancel();

private:
    void readPage(const std::string &prefix, const std::string &afterKey, std::vector<MetadataItem> &items, std::function<void()> then);
    void readProgress();
    void finish();
    Result<LoadedBatch> decode() const;

    MetadataStore &m_store;
    EventLoop m_loop;
    BatchIndex m_index;
    Callback m_callback;
    std::vector<MetadataItem> m_parts;
    std::vector<MetadataItem> m_chunks;
    std::vector<MetadataItem> m_progress;
    int m_failures = 0;
};

}
