#pragma once

#include "scheduling/tokenforecast.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Basilbend
{

/// A model endpoint as the scheduler sees it at one moment.
struct PlacementEndpoint {
    std::string id;
    /// Takes runs of the model and the route in question at all.
    bool isOpen = true;
    int slots = 1;
    int running = 0;
    /// Tokens of its runs, and what its memory holds; zero capacity: not known.
    TokenForecast forecast;
    std::uint64_t tokenCapacity = 0;
    std::uint64_t version = 0;
    /// Generates at less than half of the usual speed.
    bool isSlow = false;
    /// Relative time for an event; 1 is usual.
    double pace = 1;
};

/// An item that waits for a place.
struct PlacementItem {
    /// Handed back with the assignment.
    std::size_t index = 0;
    std::uint64_t minimumVersion = 0;
    TokenUse tokens;
    /// The endpoint that holds the group's prompt; empty: none.
    std::string preferredEndpoint;
    /// An endpoint where the item has just failed or was too slow; used only when there is no other.
    std::string avoidedEndpoint;
};

struct Assignment {
    std::size_t item = 0;
    std::string endpoint;
};

/// Whether any endpoint has a free slot and new enough weights. Without one, no waiting item need be looked at.
bool hasFreeSlot(const std::vector<PlacementEndpoint> &endpoints, std::uint64_t minimumVersion);

/// Whether the endpoint has a free slot, enough memory and new enough weights for the item.
bool hasRoom(const PlacementEndpoint &endpoint, const PlacementItem &item);

/// Relative time that the endpoint is expected to take for an event of a run that is added.
double expectedTime(const PlacementEndpoint &endpoint);

/// Endpoints that can't take an item now, by the reason.
struct PlacementObstacles {
    /// Endpoints that take runs of the model at all.
    int open = 0;
    /// Their weights are too old.
    int outdated = 0;
    /// All slots are taken.
    int full = 0;
    /// They generate at less than half of the usual speed; some of these may be full or outdated, too.
    int slow = 0;
};

PlacementObstacles countObstacles(const std::vector<PlacementEndpoint> &endpoints, std::uint64_t minimumVersion);

/// Gives waiting items, most urgent first, to endpoints with a free slot and enough memory. An item goes to the endpoint
/// that is expected to be done first, or to the one that holds its group's prompt when that is about as fast. Slow endpoints
/// get work only when no other has a free slot and more items wait than the others can take soon. What is assigned is added to
/// the endpoints, so that the next batch of the round finds them as they then are.
std::vector<Assignment> assignItems(const std::vector<PlacementItem> &waiting, std::vector<PlacementEndpoint> &endpoints);

}
