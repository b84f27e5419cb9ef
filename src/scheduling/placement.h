#pragma once

#include "forwarding/requestlimiter.h"
#include "scheduling/tokenforecast.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Basilbend
{

/// Snapshot of a model endpoint for a placement round.
struct PlacementEndpoint {
    std::string id;
    /// Whether the endpoint may run the model and route of the current batch.
    bool isEligible = true;
    int slots = 1;
    int running = 0;
    /// Forecast of the tokens that its runs hold, and the capacity of its memory in tokens; a capacity of zero is unknown.
    TokenForecast forecast;
    std::uint64_t tokenCapacity = 0;
    std::uint64_t version = 0;
    /// Number of requests that it may get now; see RequestLimiter.
    std::size_t startsLeft = RequestLimiter::Unlimited;
    /// Whether it generates at less than about half the usual speed; see EndpointHealth::isSlow().
    bool isSlow = false;
    /// Time per event relative to the median of all endpoints; 1 at the median.
    double relativeEventTime = 1;
};

/// A waiting item and its placement constraints.
struct PlacementItem {
    /// Index of the item in its batch; returned in Assignment::item.
    std::size_t index = 0;
    std::uint64_t minimumVersion = 0;
    TokenUse tokens;
    /// Endpoint that holds the prompt of the item's group; empty if there is none.
    std::string preferredEndpoint;
    /// Endpoint where the item has just failed or was too slow; used only if no other endpoint can take the item.
    std::string avoidedEndpoint;
};

struct Assignment {
    std::size_t item = 0;
    std::string endpoint;
};

/// Whether any endpoint has a free slot, may get a request and has weights of at least minimumVersion. If not, the waiting items need not be
/// examined.
bool hasFreeSlot(const std::vector<PlacementEndpoint> &endpoints, std::uint64_t minimumVersion);

/// Whether the endpoint may get a request and has a free slot, enough memory and recent enough weights for the item.
bool hasCapacity(const PlacementEndpoint &endpoint, const PlacementItem &item);

/// Adds a run of the item to the endpoint, so that the next decision of the round sees the remaining capacity.
void addRun(PlacementEndpoint &endpoint, const TokenUse &tokens);

/// Expected relative time per event of a run that is added to the endpoint.
double expectedEventTime(const PlacementEndpoint &endpoint);

/// Number of eligible endpoints, and how many of them cannot take an item (outdated, full or limited) or are avoided (slow).
struct PlacementObstacles {
    /// Endpoints that may run the model and route of the batch.
    int eligible = 0;
    /// Eligible endpoints whose weights are too old.
    int outdated = 0;
    /// Eligible endpoints with recent enough weights whose slots are all taken.
    int full = 0;
    /// Eligible endpoints with recent enough weights and a free slot that may get no request yet, because of the warm-up limit.
    int limited = 0;
    /// Eligible endpoints that generate at less than about half the usual speed, including those that are outdated or full.
    int slow = 0;
};

PlacementObstacles countObstacles(const std::vector<PlacementEndpoint> &endpoints, std::uint64_t minimumVersion);

/// Assigns waiting items, most urgent first, to endpoints with a free slot and enough memory. An item goes to the endpoint
/// with the shortest expected time, or to the one that holds its group's prompt if that is about as fast. Slow endpoints
/// are used only if no other has a free slot and more items wait than the others can take soon. Assignments are added to
/// endpoints, so that the next batch of the round sees the remaining capacity.
std::vector<Assignment> assignItems(const std::vector<PlacementItem> &waiting, std::vector<PlacementEndpoint> &endpoints);

}
