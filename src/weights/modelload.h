#pragma once

#include <cstdint>

namespace Basilbend
{

/// What the batches of one model ask of its endpoints.
struct ModelLoad {
    /// The newest version that an open batch needs at least; zero: no batch is open.
    std::uint64_t requiredVersion = 0;
    /// Work of a step, for the division of the endpoints.
    double demand = 0;
    bool hasWaiting = false;
    /// Items of a recent step had to wait for a place.
    bool isTight = false;
};

}
