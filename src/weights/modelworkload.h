#pragma once

#include <cstdint>

namespace Basilbend
{

/// Work of the batches of one model.
struct ModelWorkload {
    /// Highest minimum version of the open batches; zero: no batch is open.
    std::uint64_t requiredVersion = 0;
    /// Work per step, from which the endpoints are shared out.
    double demand = 0;
    bool hasWaitingItems = false;
    /// Items of a recent step had to wait for a free slot.
    bool isShortOfSlots = false;
};

}
