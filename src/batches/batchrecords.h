#pragma once

#include "base/result.h"
#include "batches/batch.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// How batches lie in the metadata store:
///   batch/index/ID              BatchIndex, from the acceptance on; changed once, when the batch is ended
///   batch/submission/ID/PART    the submission as it came, in parts below the size of a value
///   batch/result/ID/POSITION    ResultChunk: consecutive results from that position on; never changed
///   batch/progress/ID           what long items have generated so far, for a successor; may be old or missing
/// A batch exists when its index exists. The position is written with leading zeros, so that key order is list order.
namespace BatchRecords
{
inline constexpr const char *IndexPrefix = "batch/index/";

std::string indexKey(const std::string &id);
std::string submissionKey(const std::string &id, std::size_t part);
std::string submissionPrefix(const std::string &id);
std::string progressKey(const std::string &id);
std::string resultKey(const std::string &id, std::size_t position);
std::string resultPrefix(const std::string &id);

/// The position in a result key; nothing when the key has none.
std::optional<std::size_t> positionOfResultKey(std::string_view key);

std::string encodeIndex(const BatchIndex &index);
Result<BatchIndex> decodeIndex(std::string_view text);

/// Consecutive results, with what a reader needs to know of their batch.
struct ResultChunk {
    std::string workspace;
    std::size_t itemCount = 0;
    std::vector<ItemResult> results;
};

std::string encodeChunk(const ResultChunk &chunk);
Result<ResultChunk> decodeChunk(std::string_view text);

/// Cuts a submission into values of at most partBytes; at least one part.
std::vector<std::string> splitSubmission(std::string_view body, std::size_t partBytes);
}

}
