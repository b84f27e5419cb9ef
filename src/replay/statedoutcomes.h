#pragma once

#include "base/result.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Basilbend
{

/// What a trace has to result in. A bound that is absent is not judged. Percentages are whole numbers.
struct StatedOutcomes {
    /// Least service of the worst-served workspace in any window, of the smaller of demand and promise.
    std::optional<std::uint64_t> worstWindowPercent;

    /// Largest mean step time, of the run with known lengths.
    std::optional<std::uint64_t> stepTimePercent;

    /// Largest trainer idle time, of the better baseline.
    std::optional<std::uint64_t> idlePercent;

    std::optional<std::uint64_t> staleDiscarded;

    /// Largest spend, of the run with known lengths.
    std::optional<std::uint64_t> spendPercent;

    /// Least goodput, of the best goodput at any part of the load.
    std::optional<std::uint64_t> goodputPercent;

    std::optional<std::uint64_t> usageWrong;

    /// Longest time until the final answer of a request that was given up on.
    std::optional<std::uint64_t> finalAnswerMs;
};

/// Reads one JSON object; fails with TraceInvalid.
Result<StatedOutcomes> readOutcomes(const std::string &text);
std::string writeOutcomes(const StatedOutcomes &outcomes);

}
