#pragma once

#include "scheduling/placement.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Basilbend
{

/// A run that might go on faster elsewhere.
struct MovableRun {
    /// Handed back by planMoves().
    std::size_t item = 0;
    std::string endpoint;
    /// Relative time for an event at its endpoint; 1 is usual.
    double pace = 1;
    /// Events that are still expected.
    double remainingEvents = 0;
    TokenUse tokens;
    /// The item has been moved before.
    bool hasMoved = false;
};

/// A run that is to be cancelled, and the endpoint where its item goes on.
struct RunMove {
    std::size_t item = 0;
    std::string endpoint;
};

/// Chooses runs that are to be cancelled and go on elsewhere, the one that gains most first. Engines of one service differ in
/// speed, and the last sample decides when a step is done; once the short samples have ended, faster engines have free slots.
/// A move costs a reading of the prompt and of what was generated, so it must gain at least MoveGainMs, and the other engine
/// must be faster by more than measurements vary (FasterFactor).
/// The pace of an engine changes with the number of its runs, so an item that has moved once moves again only from an engine
/// that has turned slow (SlowPace). What is moved is added to the endpoints.
/// UsualGap: the usual time between two events, in ms.
std::vector<RunMove>
planMoves(std::vector<MovableRun> runs, std::vector<PlacementEndpoint> &endpoints, double usualGapMs, std::uint64_t minimumVersion, std::size_t maxMoves);

inline constexpr double MoveGainMs = 300;
inline constexpr double FasterFactor = 1.12;
inline constexpr double SlowPace = 1.9;

}
