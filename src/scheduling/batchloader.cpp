#include "scheduling/batchloader.h"

#include "platform/batchcodec.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr Milliseconds RetryDelay{80};
constexpr int MaxRetryFactor = 6;
constexpr Milliseconds MinProgressAge{1000};

}

BatchLoader::BatchLoader(MetadataStore &store, EventLoop loop, EventLog &log, BatchIndex index, Callback callback)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_log(log)
    , m_index(std::move(index))
    , m_callback(std::move(callback))
{
}

void BatchLoader::start()
{
    // A batch that has just been submitted has no progress record. The submission is read in parallel with the other reads:
    // a new leader loads all open batches, and with a slow store each additional call in sequence delays the running steps.
    const bool hasProgress = m_loop.now() - Timestamp(m_index.submittedAtMs) >= MinProgressAge;
    m_outstandingReads = 2;
    readPage(BatchRecords::submissionPrefix(m_index.id), {}, m_parts, [this] { finishRead(); });
    if (hasProgress) {
        readPage(BatchRecords::progressKey(m_index.id), {}, m_progressItems, [this] { acceptProgress(); });
    } else {
        readResults();
    }
}

void BatchLoader::finishRead()
{
    if (--m_outstandingReads == 0) {
        finish();
    }
}

void BatchLoader::acceptProgress()
{
    for (const auto &item : m_progressItems) {
        auto record = decodeProgress(item.value);
        if (record) {
            m_progress = std::move(record.value());
        } else {
            // Without the record the items start again from the beginning, so an unreadable record does not fail the batch.
            m_log.warning("progress_unreadable", {{"batch", m_index.id}, {"reason", record.error().message}});
        }
    }
    readResults();
}

void BatchLoader::readResults()
{
    // The texts of results are large, and those named by the progress record need not be read again.
    const auto knownResults = m_progress.listed.size();
    const auto afterKey = knownResults == 0 ? std::string() : BatchRecords::resultKey(m_index.id, knownResults - 1);
    readPage(BatchRecords::resultPrefix(m_index.id), afterKey, m_chunks, [this] { finishRead(); });
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
            self->m_loop.runAfter(RetryDelay * std::min(self->m_failures, MaxRetryFactor),
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

Result<LoadedBatch> BatchLoader::decode()
{
    std::string body;
    for (const auto &part : m_parts) {
        body += part.value;
    }
    auto submission = decodeSubmission(body);
    if (!submission) {
        return submission.error();
    }
    auto listed = m_progress.listed;
    for (const auto &chunk : m_chunks) {
        auto decoded = BatchRecords::decodeChunk(chunk.value);
        if (!decoded) {
            return decoded.error();
        }
        for (auto &result : decoded.value().results) {
            listed.push_back(std::move(result.id));
        }
    }
    return LoadedBatch{std::make_shared<OpenBatch>(m_index, std::move(submission.value()), std::move(listed)), std::move(m_progress.texts)};
}

}
