#pragma once

#include "base/result.h"
#include "batches/batch.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// Keys and encodings of batches in the metadata store:
///   batch/index/ID              BatchIndex; written when the batch is accepted and changed once, when it is ended
///   batch/submission/ID/PART    the submission as received, split into parts below the size limit of a value
///   batch/result/ID/POSITION    ResultChunk: consecutive results that start at the position; never changed
///   batch/progress/ID           text that long items have generated so far, for the next leader; may be outdated or missing
/// A batch exists when its index exists. Parts and positions are padded with zeros, so that keys sort in numeric order.
///
/// Clients choose the ids. One may begin with another one, also followed by "/", so the index and the progress are read by their keys
/// only, and a listing of numbered records is filtered by NumberedRecords.
namespace BatchRecords
{
inline constexpr const char *IndexPrefix = "batch/index/";

/// The keys of numbered records of one batch.
class NumberedRecords
{
public:
    /// prefix: what the keys begin with, up to the number.
    explicit NumberedRecords(std::string prefix);

    /// Prefix for listings and watches. These may report records of other batches, for which contains() returns false.
    const std::string &prefix() const
    {
        return m_prefix;
    }

    std::string keyAt(std::size_t number) const;

    /// Returns the number in the key of a record of the batch, or nothing when the key is another one.
    std::optional<std::size_t> numberOf(std::string_view key) const;

    bool contains(std::string_view key) const
    {
        return numberOf(key).has_value();
    }

private:
    std::string m_prefix;
};

std::string indexKey(const std::string &id);
std::string progressKey(const std::string &id);
NumberedRecords submissionParts(const std::string &id);
/// The chunks of results, numbered by the position of their first result.
NumberedRecords resultChunks(const std::string &id);

std::string submissionKey(const std::string &id, std::size_t part);
std::string resultKey(const std::string &id, std::size_t position);

std::string encodeIndex(const BatchIndex &index);
Result<BatchIndex> decodeIndex(std::string_view text);

/// Consecutive results, with the fields of their batch that a reader needs.
struct ResultChunk {
    std::string workspace;
    std::size_t itemCount = 0;
    std::vector<ItemResult> results;
};

/// Returns an upper bound of the number of bytes that the result takes in encodeChunk().
std::size_t maxEncodedBytes(const ItemResult &result);

std::string encodeChunk(const ResultChunk &chunk);
Result<ResultChunk> decodeChunk(std::string_view text);

/// Size of a part of a submission that stays below one megabyte with base64 encoding and the enclosing message.
inline constexpr std::size_t SubmissionPartBytes = 700 * 1000;
/// Maximum number of parts: the store accepts 32 entries in one transaction, among them the index and its precondition.
inline constexpr std::size_t MaxSubmissionParts = 30;
/// Maximum size of a submission that can be stored.
inline constexpr std::size_t MaxSubmissionBytes = MaxSubmissionParts * SubmissionPartBytes;

/// Splits a submission into parts of at most partBytes. Returns one empty part for an empty body.
std::vector<std::string> splitSubmission(std::string_view body, std::size_t partBytes);
}

}
