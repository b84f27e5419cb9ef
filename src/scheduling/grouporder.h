#pragma once

#include "batches/batch.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// The order in which the items of a batch are started. The trainer waits for some of the groups only, and for those that
/// it carried over from an earlier batch in any case. So the groups with the longest items beyond that number come last;
/// the items of the others start longest first, because the longest decides when the step is done.
/// Returns the indexes of the items. Carried: ids of items that stood in an earlier batch.
std::vector<std::size_t> startOrder(const BatchSubmission &submission, const std::set<std::string> &carried);

/// Output tokens that an item is expected to generate: its hint, or a part of its limit.
std::uint64_t expectedOutput(const BatchItem &item);

}
