#include "weights/orderplanner.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr std::size_t EndpointsPerConcurrentLoad = 5;
constexpr int MinConcurrentLoads = 2;

/// Endpoints with a lower value are ordered earlier; 2 is not urgent.
int urgency(const WeightEndpoint &endpoint, const ModelWeightState &state)
{
    if (state.required > 0 && endpoint.version < state.required) {
        return 0;
    }
    return endpoint.version + 1 < state.published ? 1 : 2;
}

}

int maxConcurrentLoads(std::size_t endpoints)
{
    return std::max(MinConcurrentLoads, static_cast<int>(endpoints / EndpointsPerConcurrentLoad));
}

std::vector<std::string> planOrders(const std::vector<WeightEndpoint> &endpoints, const ModelWeightState &state, int freeLoads, bool urgentOnly)
{
    std::size_t upToDate = 0;
    std::vector<const WeightEndpoint *> candidates;
    for (const auto &endpoint : endpoints) {
        upToDate += endpoint.isLoading || endpoint.version >= state.published ? 1 : 0;
        if (!endpoint.isLoading && !endpoint.isPaused && endpoint.version < state.published) {
            candidates.push_back(&endpoint);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [&state](const WeightEndpoint *a, const WeightEndpoint *b) {
        const int urgencyA = urgency(*a, state);
        const int urgencyB = urgency(*b, state);
        return urgencyA != urgencyB ? urgencyA < urgencyB : a->running < b->running;
    });
    const auto targetCount = state.isShortOfSlots && !state.hasWaitingItems ? endpoints.size() : (endpoints.size() + 1) / 2;
    std::vector<std::string> orders;
    for (const auto *candidate : candidates) {
        const bool isUrgent = urgency(*candidate, state) < 2;
        const bool isNeeded = isUrgent || (!urgentOnly && upToDate < targetCount);
        if (!isNeeded || static_cast<int>(orders.size()) >= freeLoads) {
            break;
        }
        ++upToDate;
        orders.push_back(candidate->id);
    }
    return orders;
}

}
