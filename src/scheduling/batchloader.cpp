#include "scheduling/batchloader.h"

#include "platform/batchcodec.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr Milliseconds RetryPause{80};
constexpr int LongestRetryFactor = 6;
constexpr Milliseconds NewBatchAge{1000};

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
        readPage(BatchRecords::resultPrefix(m_index.id), {}, m_chunks, [this] { readProgress(); });
    });
}

void BatchLoader::readProgress()
{
    // A batch that has just been submitted has none.
    const bool isNew = m_chunks.empty() && m_loop.now() - Timestamp(m_index.submittedAtMs) < NewBatchAge;
    if (isNew) {
        finish();
    } else {
        readPage(BatchRecords::progressKey(m_index.id), {}, m_progress, [this] { finish(); });
    }
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

Result<LoadedBatch> BatchLoader::decode() const
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
    LoadedBatch loaded{std::make_shared<OpenBatch>(m_index, std::move(submission.value()), listed), {}};
    for (const auto &item : m_progress) {
        // Without it the items start again from the beginning, so an unreadable one is no failure of the batch.
        if (auto texts = decodeKeptTexts(item.value)) {
            loaded.progress = std::move(texts.value());
        }
    }
    return loaded;
}

}
