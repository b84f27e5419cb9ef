#include "scheduling/runmoves.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

PlacementEndpoint *fastestWithRoom(std::vector<PlacementEndpoint> &endpoints, const MovableRun &run, std::uint64_t minimumVersion)
{
    PlacementItem item;
    item.minimumVersion = minimumVersion;
    item.tokens = run.tokens;
    PlacementEndpoint *best = nullptr;
    for (auto &endpoint : endpoints) {
        const bool isOther = endpoint.id != run.endpoint;
        if (isOther && hasRoom(endpoint, item) && (best == nullptr || expectedTime(endpoint) < expectedTime(*best))) {
            best = &endpoint;
        }
    }
    return best;
}

}

std::vector<RunMove>
planMoves(std::vector<MovableRun> runs, std::vector<PlacementEndpoint> &endpoints, double usualGapMs, std::uint64_t minimumVersion, std::size_t maxMoves)
{
    std::stable_sort(
        runs.begin(), runs.end(), [](const MovableRun &a, const MovableRun &b) { return a.remainingEvents * a.pace > b.remainingEvents * b.pace; });
    std::vector<RunMove> moves;
    for (const auto &run : runs) {
        if (moves.size() == maxMoves) {
            break;
        }
        if (run.hasMoved && run.pace < SlowPace) {
            continue;
        }
        auto *target = fastestWithRoom(endpoints, run, minimumVersion);
        if (target == nullptr || run.pace < FasterFactor * target->pace) {
            continue;
        }
        if (run.remainingEvents * (run.pace - target->pace) * usualGapMs < MoveGainMs) {
            continue;
        }
        ++target->running;
        target->forecast.add(run.tokens);
        moves.push_back({run.item, target->id});
    }
    return moves;
}

}
