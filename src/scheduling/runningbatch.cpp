#include "scheduling/runningbatch.h"

#include <unordered_map>

namespace Basilbend
{

namespace
{

/// Younger runs are not moved; their first events arrive only after the prompt has been processed.
constexpr Milliseconds LeastRunTime{500};

}

std::vector<PlacementItem> RunningBatch::waitingItems(const EndpointUse &use, Timestamp now) const
{
    std::unordered_map<std::string, std::string> endpointOfGroup;
    for (const auto &[item, open] : running) {
        endpointOfGroup.emplace(state->item(item).group, open.endpoint);
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
                         use.tokenUse(runTokens(state->item(i), itemProgress.text.eventCount())),
                         group == endpointOfGroup.end() ? std::string() : group->second,
                         itemProgress.avoidedEndpoint});
        if (items.size() >= MaxWaitingInRound) {
            break;
        }
    }
    return items;
}

std::vector<MovableRun> RunningBatch::movableRuns(const EndpointUse &use, const EndpointPace &pace, double usualGapMs, Timestamp now) const
{
    std::vector<MovableRun> runs;
    for (const auto &[item, open] : running) {
        const double gap = pace.gapMs(open.endpoint, now);
        if (!open.hasEvent || gap <= 0 || now - open.run->startedAt() < LeastRunTime) {
            continue;
        }
        const auto &itemProgress = state->progress(item);
        const auto tokens = runTokens(state->item(item), itemProgress.text.eventCount());
        runs.push_back({item, open.endpoint, gap / usualGapMs, use.remainingEvents(tokens), use.tokenUse(tokens), itemProgress.hasMoved});
    }
    return runs;
}

}
