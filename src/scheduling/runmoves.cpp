#include "scheduling/runmoves.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

PlacementEndpoint *fastestWithCapacity(std::vector<PlacementEndpoint> &endpoints, const MovableRun &run, std::uint64_t minimumVersion)
{
    PlacementItem item;
    item.minimumVersion = minimumVersion;
    item.tokens = run.tokens;
    PlacementEndpoint *best = nullptr;
    for (auto &endpoint : endpoints) {
        const bool isOther = endpoint.id != run.endpoint;
        if (isOther && hasCapacity(endpoint, item) && (best == nullptr || expectedEventTime(endpoint) < expectedEventTime(*best))) {
            best = &endpoint;
        }
    }
    return best;
}

}

std::vector<RunMove>
planMoves(std::vector<MovableRun> runs, std::vector<PlacementEndpoint> &endpoints, double medianIntervalMs, std::uint64_t minimumVersion, std::size_t maxMoves)
{
    std::stable_sort(runs.begin(), runs.end(), [](const MovableRun &a, const MovableRun &b) {
        return a.remainingEvents * a.relativeEventTime > b.remainingEvents * b.relativeEventTime;
    });
    std::vector<RunMove> moves;
    for (const auto &run : runs) {
        if (moves.size() == maxMoves) {
            break;
        }
        if (run.hasMoved && run.relativeEventTime < SlowRelativeTime) {
            continue;
        }
        auto *target = fastestWithCapacity(endpoints, run, minimumVersion);
        if (target == nullptr || run.relativeEventTime < MinSpeedup * target->relativeEventTime) {
            continue;
        }
        if (run.remainingEvents * (run.relativeEventTime - target->relativeEventTime) * medianIntervalMs < MinMoveGainMs) {
            continue;
        }
        addRun(*target, run.tokens);
        moves.push_back({run.itemIndex, target->id});
    }
    return moves;
}

}
