#pragma once

#include "batches/batch.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// Order in which the items of a batch are started. The trainer waits for only desiredGroups of the groups, and in any case
/// for those that it carried over from an earlier batch. The groups with the longest items beyond that number therefore
/// come last; the items of the other groups start longest first, because the longest decides when the step is done. Returns
/// the indexes of the items.
/// carried: ids of items that were part of an earlier batch.
std::vector<std::size_t> startOrder(const BatchSubmission &submission, const std::set<std::string> &carried);

/// Number of output tokens that an item is expected to generate: its length hint, or a fraction of its limit.
std::uint64_t expectedOutput(const BatchItem &item);

}
