#pragma once

#include "replay/statedoutcomes.h"
#include "replay/trace.h"

#include <string>
#include <vector>

namespace Basilbend
{

/// A trace with the outcomes stated for it.
struct MadeTrace {
    Trace trace;
    StatedOutcomes outcomes;
};

/// Makes the traces of both users and the mixes from fixed seeds; the same call gives the same trace on every machine. The
/// number is added to each seed and gives traces of the same kind on which nothing was tuned.
std::vector<MadeTrace> makeTraces(std::uint64_t seedOffset = 0);

}
