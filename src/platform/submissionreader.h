#pragma once

#include "base/result.h"
#include "batches/batch.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Basilbend
{

/// Limits that keep the memory for a submission near the size of its text.
struct SubmissionLimits {
    /// Maximum number of items of a batch. A leader keeps several hundred bytes for each.
    static constexpr std::size_t MaxItems = 65536;
    /// Maximum number of header fields of an item.
    static constexpr std::size_t MaxItemHeaders = 1000;
};

/// Called with each item of a submission. Returns what is wrong with the item, which ends the reading, or nothing.
using SubmissionItemHandler = std::function<std::optional<std::string>(BatchItem &&)>;

/// Reads a batch submitted by a trainer, one item after the other, so that only one of them is in memory beside the text. The items of the
/// result are empty. Fails with MalformedRequest and the name of the first invalid field, or with the text that onItem returned; both name
/// the position of the item, from zero. Items may have been passed to onItem before a failure.
Result<BatchSubmission> readSubmission(std::string_view body, const SubmissionItemHandler &onItem);

}
