#pragma once

#include <cstdint>

namespace Basilbend
{

/// Amount of work that a runner has done since its process started.
struct RunnerCounts {
    std::uint64_t rounds = 0;
    /// Waiting items that the rounds have examined.
    std::uint64_t examinedItems = 0;
    std::uint64_t startedRuns = 0;
    std::uint64_t cancelledRuns = 0;
    std::uint64_t events = 0;
};

}
