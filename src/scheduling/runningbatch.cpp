#include "scheduling/runningbatch.h"

#include <unordered_map>

namespace Basilbend
{

namespace
{

/// Younger runs are not moved; their first events arrive only after the prompt has been processed.
constexpr Milliseconds MinRunTime{500};

}

std::vector<PlacementItem> RunningBatch::waitingItems(const RunTracker &tracker, Timestamp now) const
{
    std::unordered_map<std::string, std::string> endpointOfGroup;
    for (const auto &[item, openRun] : openRuns) {
        endpointOfGroup.emplace(state->item(item).group, openRun.endpoint);
    }
    std::vector<PlacementItem> items;
    for (const auto i : state->order()) {
        const auto &itemProgress = state->progress(i);
        if (itemProgress.phase != ItemPhase::Waiting || now < itemProgress.notBefore) {
            continue;
        }
        const auto group = endpointOfGroup.find(state->item(i).group);
        items.push_back({i,
                         state->submission().minimumVersion,
                         tracker.tokenUse(runTokens(state->item(i), itemProgress.text.eventCount())),
                         group == endpointOfGroup.end() ? std::string() : group->second,
                         itemProgress.avoidedEndpoint});
        if (items.size() >= MaxItemsPerRound) {
            break;
        }
    }
    return items;
}

std::vector<MovableRun> RunningBatch::movableRuns(const RunTracker &tracker, const EndpointHealth &health, double medianIntervalMs, Timestamp now) const
{
    std::vector<MovableRun> runs;
    for (const auto &[item, openRun] : openRuns) {
        const double interval = health.eventIntervalMs(openRun.endpoint, now);
        if (!openRun.hasEvent || interval <= 0 || now - openRun.itemRun->startedAt() < MinRunTime) {
            continue;
        }
        const auto &itemProgress = state->progress(item);
        const auto tokens = runTokens(state->item(item), itemProgress.text.eventCount());
        runs.push_back({item, openRun.endpoint, interval / medianIntervalMs, tracker.remainingEvents(tokens), tracker.tokenUse(tokens), itemProgress.hasMoved});
    }
    return runs;
}

}
