#pragma once

#include "base/result.h"
#include "batches/batch.h"

#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// Decodes a batch submitted by a trainer, also one that checkSubmission() would not accept. Fails with MalformedRequest and the name of the first invalid
/// field.
Result<BatchSubmission> decodeSubmission(std::string_view body);

/// Checks a batch that is to be accepted, without keeping it: its form and the texts of its items, see invalidTextOf(). Returns the number
/// of its items. Fails with MalformedRequest and the name of the first invalid field.
Result<std::size_t> checkSubmission(std::string_view body);

/// Encodes a page of results as JSON. Adds results in order while the result list stays within maxBytes, but at least one if there
/// is any.
std::string encodeResultPage(std::size_t total, std::size_t position, const std::vector<const ItemResult *> &results, std::size_t maxBytes);

}
