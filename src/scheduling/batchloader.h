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

/// Reads a batch and its listed results from the metadata store; repeats until the store answers.
class BatchLoader : public std::enable_shared_from_this<BatchLoader>
{
public:
    using Callback = std::function<void(Result<std::shared_ptr<OpenBatch>>)>;

    BatchLoader(MetadataStore &store, EventLoop loop, BatchIndex index, Callback callback);

    void start();

    /// The callback will not be called.
    void cancel();

private:
    void readPage(const std::string &prefix, const std::string &afterKey, std::vector<MetadataItem> &items, std::function<void()> then);
    void finish();
    Result<std::shared_ptr<OpenBatch>> decode() const;

    MetadataStore &m_store;
    EventLoop m_loop;
    BatchIndex m_index;
    Callback m_callback;
    std::vector<MetadataItem> m_parts;
    std::vector<MetadataItem> m_chunks;
    int m_failures = 0;
};

}
