#include "scheduling/runmoves.h"

#include <algorithm>
#include <limits>

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

/// Whether a move to an endpoint with this relative time per event is worth its cost.
bool isWorthMoving(const MovableRun &run, double targetEventTime, double medianIntervalMs)
{
    const double gainMs = run.remainingEvents * (run.relativeEventTime - targetEventTime) * medianIntervalMs;
    return run.relativeEventTime >= MinSpeedup * targetEventTime && gainMs >= MinMoveGainMs;
}

/// The shortest relative time per event of all endpoints that may take a run; infinite if there is none.
double shortestEventTime(const std::vector<PlacementEndpoint> &endpoints)
{
    double shortest = std::numeric_limits<double>::infinity();
    for (const auto &endpoint : endpoints) {
        if (endpoint.isEligible && endpoint.running < endpoint.slots) {
            shortest = std::min(shortest, endpoint.relativeEventTime);
        }
    }
    return shortest;
}

}

std::vector<RunMove>
planMoves(std::vector<MovableRun> runs, std::vector<PlacementEndpoint> &endpoints, double medianIntervalMs, std::uint64_t minimumVersion, std::size_t maxMoves)
{
    std::stable_sort(runs.begin(), runs.end(), [](const MovableRun &a, const MovableRun &b) {
        return a.remainingEvents * a.relativeEventTime > b.remainingEvents * b.relativeEventTime;
    });
    // Most runs can't gain enough anywhere, and need not be compared with each endpoint.
    const double shortest = shortestEventTime(endpoints);
    std::vector<RunMove> moves;
    for (const auto &run : runs) {
        if (moves.size() == maxMoves) {
            break;
        }
        const bool mustStay = run.hasMoved && run.relativeEventTime < SlowRelativeTime;
        if (mustStay || !isWorthMoving(run, shortest, medianIntervalMs)) {
            continue;
        }
        auto *target = fastestWithCapacity(endpoints, run, minimumVersion);
        if (target == nullptr || !isWorthMoving(run, target->relativeEventTime, medianIntervalMs)) {
            continue;
        }
        addRun(*target, run.tokens);
        moves.push_back({run.itemIndex, target->id});
    }
    return moves;
}

}
