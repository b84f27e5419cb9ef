#pragma once

#include "base/result.h"
#include "batches/batch.h"

#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// Decodes what a trainer submits. Fails with MalformedRequest and the name of the first wrong field.
Result<BatchSubmission> decodeSubmission(std::string_view body);

/// A page of results. Adds results from the front until the page would exceed maxBytes, but at least one.
std::string encodeResultPage(std::size_t total, std::size_t position, const std::vector<const ItemResult *> &results, std::size_t maxBytes);

}
