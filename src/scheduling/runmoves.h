#pragma once

#include "scheduling/placement.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Basilbend
{

/// A run that may be continued at a faster endpoint.
struct MovableRun {
    /// Index of the item in its batch; returned in RunMove::itemIndex.
    std::size_t itemIndex = 0;
    std::string endpoint;
    /// Time per event at its endpoint relative to the median of all endpoints; 1 at the median.
    double relativeEventTime = 1;
    /// Number of events that the run is still expected to generate.
    double remainingEvents = 0;
    TokenUse tokens;
    /// Whether the item has been moved before.
    bool hasMoved = false;
};

/// A run to cancel, and the endpoint where its item continues.
struct RunMove {
    std::size_t itemIndex = 0;
    std::string endpoint;
};

/// Selects runs to cancel and continue at other endpoints, those with the longest remaining time first. Engines of one
/// service differ in speed, and the last sample decides when a step is done; once the short samples have ended, faster
/// engines have free slots. A move costs processing the prompt and the generated text again, so it must save at least
/// MinMoveGainMs, and the target must be faster by more than measurements vary (MinSpeedup).
/// The speed of an engine changes with the number of its runs, so an item that has moved once moves again only from an
/// engine that has become slow (SlowRelativeTime). Moves are added to endpoints.
/// medianIntervalMs: the median time between two events of a run, in ms.
std::vector<RunMove>
planMoves(std::vector<MovableRun> runs, std::vector<PlacementEndpoint> &endpoints, double medianIntervalMs, std::uint64_t minimumVersion, std::size_t maxMoves);

inline constexpr double MinMoveGainMs = 300;
inline constexpr double MinSpeedup = 1.12;
inline constexpr double SlowRelativeTime = 1.9;

}
