#include "scheduling/batchloader.h"

#include "platform/batchcodec.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr Milliseconds RetryPause{80};
constexpr int LongestRetryFactor = 6;

}

BatchLoader::BatchLoader(MetadataStore &store, EventLoop loop, BatchIndex index, Callback callback)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_index(std::move(index))
    , m_callback(std::move(callback))
{
}

void BatchLoader::start()
{
    readPage(BatchRecords::submissionPrefix(m_index.id), {}, m_parts, [this] {
        readPage(BatchRecords::resultPrefix(m_index.id), {}, m_chunks, [this] { finish(); });
    });
}

void BatchLoader::cancel()
{
    m_callback = nullptr;
}

void BatchLoader::readPage(const std::string &prefix, const std::string &afterKey, std::vector<MetadataItem> &items, std::function<void()> then)
{
    m_store.list(prefix, afterKey, [self = shared_from_this(), prefix, afterKey, &items, then = std::move(then)](MetadataReply reply) {
        if (!self->m_callback) {
            return;
        }
        if (reply.status != MetadataStatus::Done) {
            ++self->m_failures;
            self->m_loop.runAfter(RetryPause * std::min(self->m_failures, LongestRetryFactor),
                                  [self, prefix, afterKey, &items, then] { self->readPage(prefix, afterKey, items, then); });
            return;
        }
        const bool hasMore = reply.hasMore && !reply.items.empty();
        std::move(reply.items.begin(), reply.items.end(), std::back_inserter(items));
        if (hasMore) {
            self->readPage(prefix, items.back().key, items, then);
        } else {
            then();
        }
    });
}

void BatchLoader::finish()
{
    const auto callback = std::move(m_callback);
    m_callback = nullptr;
    callback(decode());
}

Result<std::shared_ptr<OpenBatch>> BatchLoader::decode() const
{
    std::string body;
    for (const auto &part : m_parts) {
        body += part.value;
    }
    auto submission = decodeSubmission(body);
    if (!submission) {
        return submission.error();
    }
    std::vector<ItemResult> listed;
    for (const auto &chunk : m_chunks) {
        auto decoded = BatchRecords::decodeChunk(chunk.value);
        if (!decoded) {
            return decoded.error();
        }
        auto &results = decoded.value().results;
        std::move(results.begin(), results.end(), std::back_inserter(listed));
    }
    return std::make_shared<OpenBatch>(m_index, std::move(submission.value()), listed);
}

}
