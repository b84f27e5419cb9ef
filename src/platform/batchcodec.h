#pragma once

#include "base/result.h"
#include "batches/batch.h"

#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// Decodes a batch submitted by a trainer. Fails with MalformedRequest and the name of the first invalid field.
Result<BatchSubmission> decodeSubmission(std::string_view body);

/// Encodes a page of results as JSON. Adds results in order while the result list stays within maxBytes, but at least one if there
/// is any.
std::string encodeResultPage(std::size_t total, std::size_t position, const std::vector<const ItemResult *> &results, std::size_t maxBytes);

}
