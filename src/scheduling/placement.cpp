#include "scheduling/placement.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Processing a prompt again is cheap compared with slower generation, so the endpoint that holds it is used only if its
/// expected time is within this factor of the best.
constexpr double AffinityFactor = 1.1;

/// An engine with all slots in use generates each of its runs slower by about this fraction.
constexpr double LoadWeight = 0.15;

bool hasFreeSlot(const PlacementEndpoint &endpoint, std::uint64_t minimumVersion)
{
    return endpoint.isEligible && endpoint.running < endpoint.slots && endpoint.startsLeft > 0 && endpoint.version >= minimumVersion;
}

PlacementEndpoint *findBest(std::vector<PlacementEndpoint> &endpoints, const PlacementItem &item, bool allowSlow, bool allowAvoided)
{
    PlacementEndpoint *best = nullptr;
    PlacementEndpoint *preferred = nullptr;
    for (auto &endpoint : endpoints) {
        const bool isAllowed = (allowSlow || !endpoint.isSlow) && (allowAvoided || endpoint.id != item.avoidedEndpoint);
        if (!isAllowed || !hasCapacity(endpoint, item)) {
            continue;
        }
        if (endpoint.id == item.preferredEndpoint) {
            preferred = &endpoint;
        }
        if (best == nullptr || expectedEventTime(endpoint) < expectedEventTime(*best)) {
            best = &endpoint;
        }
    }
    const bool usePreferred = preferred != nullptr && expectedEventTime(*preferred) <= AffinityFactor * expectedEventTime(*best);
    return usePreferred ? preferred : best;
}

}

bool hasFreeSlot(const std::vector<PlacementEndpoint> &endpoints, std::uint64_t minimumVersion)
{
    return std::any_of(
        endpoints.begin(), endpoints.end(), [minimumVersion](const PlacementEndpoint &endpoint) { return hasFreeSlot(endpoint, minimumVersion); });
}

bool hasCapacity(const PlacementEndpoint &endpoint, const PlacementItem &item)
{
    if (!hasFreeSlot(endpoint, item.minimumVersion)) {
        return false;
    }
    // An idle endpoint accepts an item of any size.
    return endpoint.tokenCapacity == 0 || endpoint.running == 0 || endpoint.forecast.peakWith(item.tokens) <= endpoint.tokenCapacity;
}

void addRun(PlacementEndpoint &endpoint, const TokenUse &tokens)
{
    ++endpoint.running;
    endpoint.forecast.add(tokens);
    if (endpoint.startsLeft != RequestLimiter::Unlimited) {
        --endpoint.startsLeft;
    }
}

double expectedEventTime(const PlacementEndpoint &endpoint)
{
    return endpoint.relativeEventTime * (1 + LoadWeight * static_cast<double>(endpoint.running) / std::max(endpoint.slots, 1));
}

PlacementObstacles countObstacles(const std::vector<PlacementEndpoint> &endpoints, std::uint64_t minimumVersion)
{
    PlacementObstacles obstacles;
    for (const auto &endpoint : endpoints) {
        if (!endpoint.isEligible) {
            continue;
        }
        ++obstacles.eligible;
        const bool isOutdated = endpoint.version < minimumVersion;
        obstacles.outdated += isOutdated ? 1 : 0;
        const bool isFull = endpoint.running >= endpoint.slots;
        obstacles.full += !isOutdated && isFull ? 1 : 0;
        obstacles.limited += !isOutdated && !isFull && endpoint.startsLeft == 0 ? 1 : 0;
        obstacles.slow += endpoint.isSlow ? 1 : 0;
    }
    return obstacles;
}

std::vector<Assignment> assignItems(const std::vector<PlacementItem> &waiting, std::vector<PlacementEndpoint> &endpoints)
{
    std::vector<Assignment> assignments;
    const bool onlySlow =
        std::all_of(endpoints.begin(), endpoints.end(), [](const PlacementEndpoint &endpoint) { return endpoint.isSlow || !endpoint.isEligible; });
    const auto fastSlots = [&endpoints] {
        int n = 0;
        for (const auto &endpoint : endpoints) {
            n += endpoint.isSlow || !endpoint.isEligible ? 0 : endpoint.slots;
        }
        return static_cast<std::size_t>(n);
    }();
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        const auto &item = waiting[i];
        const bool allowSlow = onlySlow || waiting.size() - i > fastSlots;
        auto *endpoint = findBest(endpoints, item, allowSlow, false);
        if (endpoint == nullptr && !item.avoidedEndpoint.empty()) {
            endpoint = findBest(endpoints, item, allowSlow, true);
        }
        if (endpoint == nullptr) {
            continue;
        }
        addRun(*endpoint, item.tokens);
        assignments.push_back({item.index, endpoint->id});
    }
    return assignments;
}

}
