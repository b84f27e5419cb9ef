#pragma once

#include <cstdint>

namespace Basilbend
{

/// Work that the batches of one model have for its endpoints.
struct ModelWorkload {
    /// Highest minimum version of the open batches; zero when no batch is open.
    std::uint64_t requiredVersion = 0;
    /// Work per step, from which the endpoints are shared out.
    double demand = 0;
    /// Items are queued for a free slot.
    bool hasWaitingItems = false;
    /// Items of a recent step had to wait for a free slot.
    bool isShortOfSlots = false;
};

}
