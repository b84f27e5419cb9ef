#include "scheduling/batchloader.h"

#include "platform/batchcodec.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

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
    readPage(BatchRecords::submissionParts(m_index.id), {}, m_parts, [this] { finishRead(); });
    if (hasProgress) {
        readProgress();
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

void BatchLoader::readProgress()
{
    m_store.get(BatchRecords::progressKey(m_index.id), [self = shared_from_this()](const MetadataReply &reply) {
        if (!self->m_callback) {
            return;
        }
        if (reply.status == MetadataStatus::Done && !reply.items.empty()) {
            self->acceptProgress(reply.items.front().value);
        } else if (reply.status == MetadataStatus::Done || reply.status == MetadataStatus::NotFound) {
            self->readResults();
        } else {
            self->retryLater([self] { self->readProgress(); });
        }
    });
}

void BatchLoader::acceptProgress(const std::string &text)
{
    auto record = decodeProgress(text);
    if (record) {
        m_progress = std::move(record.value());
    } else {
        // Without the record the items start again from the beginning, so an unreadable record does not fail the batch.
        m_log.warning("progress_unreadable", {{"batch", m_index.id}, {"reason", record.error().message}});
    }
    readResults();
}

void BatchLoader::readResults()
{
    // The texts of results are large, and those named by the progress record need not be read again.
    const auto knownResults = m_progress.listed.size();
    const auto records = BatchRecords::resultChunks(m_index.id);
    readPage(records, knownResults == 0 ? std::string() : records.keyAt(knownResults - 1), m_chunks, [this] { finishRead(); });
}

void BatchLoader::cancel()
{
    m_callback = nullptr;
}

void BatchLoader::readPage(const BatchRecords::NumberedRecords &records,
                           const std::string &afterKey,
                           std::vector<MetadataItem> &items,
                           std::function<void()> then)
{
    m_store.list(records.prefix(), afterKey, [self = shared_from_this(), records, afterKey, &items, then = std::move(then)](MetadataReply reply) {
        if (!self->m_callback) {
            return;
        }
        if (reply.status != MetadataStatus::Done) {
            self->retryLater([self, records, afterKey, &items, then] { self->readPage(records, afterKey, items, then); });
            return;
        }
        const auto lastKey = reply.items.empty() ? std::string() : reply.items.back().key;
        std::copy_if(std::make_move_iterator(reply.items.begin()),
                     std::make_move_iterator(reply.items.end()),
                     std::back_inserter(items),
                     [&records](const MetadataItem &item) { return records.contains(item.key); });
        if (reply.hasMore && !lastKey.empty()) {
            self->readPage(records, lastKey, items, then);
        } else {
            then();
        }
    });
}

void BatchLoader::retryLater(std::function<void()> step)
{
    ++m_failures;
    m_loop.runAfter(RetryDelay * std::min(m_failures, MaxRetryFactor), std::move(step));
}

void BatchLoader::finish()
{
    decodeParts();
    if (m_submission && !isProgressConsistent(m_submission.value())) {
        // Earlier releases could store the results of another batch in this record. The results themselves tell the positions.
        m_log.warning("progress_inconsistent", {{"batch", m_index.id}, {"listed", m_progress.listed.size()}});
        m_progress = {};
        m_chunks.clear();
        m_outstandingReads = 1;
        readResults();
        return;
    }
    const auto callback = std::move(m_callback);
    m_callback = nullptr;
    callback(m_submission ? decode(std::move(m_submission.value())) : Result<LoadedBatch>(m_submission.error()));
}

void BatchLoader::decodeParts()
{
    if (m_submission) {
        return;
    }
    std::string body;
    body.reserve(m_index.bytes);
    for (auto &part : m_parts) {
        body += part.value;
        part = {};
    }
    m_parts.clear();
    m_submission = decodeSubmission(body);
}

bool BatchLoader::isProgressConsistent(const BatchSubmission &submission) const
{
    if (m_progress.listed.empty()) {
        return true;
    }
    std::unordered_set<std::string> unlisted;
    for (const auto &item : submission.items) {
        unlisted.insert(item.id);
    }
    const bool isOwn = std::all_of(m_progress.listed.begin(), m_progress.listed.end(), [&unlisted](const auto &id) { return unlisted.erase(id) > 0; });
    const bool isFollowed = m_chunks.empty() || BatchRecords::resultChunks(m_index.id).numberOf(m_chunks.front().key) == m_progress.listed.size();
    return isOwn && isFollowed;
}

Result<LoadedBatch> BatchLoader::decode(BatchSubmission submission)
{
    const auto records = BatchRecords::resultChunks(m_index.id);
    auto listed = m_progress.listed;
    for (const auto &chunk : m_chunks) {
        if (records.numberOf(chunk.key) != listed.size()) {
            // Clients read up to the gap, so the next results belong there.
            m_log.warning("results_not_contiguous", {{"key", chunk.key}, {"listed", listed.size()}});
            break;
        }
        auto decoded = BatchRecords::decodeChunk(chunk.value);
        if (!decoded) {
            return decoded.error();
        }
        for (auto &result : decoded.value().results) {
            listed.push_back(std::move(result.id));
        }
    }
    return LoadedBatch{std::make_shared<OpenBatch>(m_index, std::move(submission), std::move(listed)), std::move(m_progress.texts)};
}

}
