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

std::vector<std::size_t> planMoves(std::vector<MovableRun> runs, std::vector<PlacementEndpoint> endpoints, double usualGapMs, std::uint64_t minimumVersion)
{
    std::stable_sort(
        runs.begin(), runs.end(), [](const MovableRun &a, const MovableRun &b) { return a.remainingEvents * a.pace > b.remainingEvents * b.pace; });
    std::vector<std::size_t> moves;
    for (const auto &run : runs) {
        auto *target = fastestWithRoom(endpoints, run, minimumVersion);
        if (target == nullptr || run.pace < FasterFactor * target->pace) {
            continue;
        }
        if (run.remainingEvents * (run.pace - target->pace) * usualGapMs < MoveGainMs) {
            continue;
        }
        ++target->running;
        target->forecast.add(run.tokens);
        moves.push_back(run.item);
    }
    return moves;
}

}
