#pragma once

#include "base/result.h"
#include "batches/batch.h"

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
namespace BatchRecords
{
inline constexpr const char *IndexPrefix = "batch/index/";

std::string indexKey(const std::string &id);
std::string submissionKey(const std::string &id, std::size_t part);
std::string submissionPrefix(const std::string &id);
std::string progressKey(const std::string &id);
std::string resultKey(const std::string &id, std::size_t position);
std::string resultPrefix(const std::string &id);

/// Returns the position in a result key, or nothing when the key does not end with a number.
std::optional<std::size_t> positionOfResultKey(std::string_view key);

std::string encodeIndex(const BatchIndex &index);
Result<BatchIndex> decodeIndex(std::string_view text);

/// Consecutive results, with the fields of their batch that a reader needs.
struct ResultChunk {
    std::string workspace;
    std::size_t itemCount = 0;
    std::vector<ItemResult> results;
};

std::string encodeChunk(const ResultChunk &chunk);
Result<ResultChunk> decodeChunk(std::string_view text);

/// Splits a submission into parts of at most partBytes. Returns one empty part for an empty body.
std::vector<std::string> splitSubmission(std::string_view body, std::size_t partBytes);
}

}
