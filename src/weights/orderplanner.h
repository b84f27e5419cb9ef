#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Basilbend
{

/// State of one endpoint of a model, as input of the planner.
struct WeightEndpoint {
    std::string id;
    std::uint64_t version = 0;
    int running = 0;
    /// An order has been sent or is being carried out.
    bool isLoading = false;
    /// The endpoint gets no orders for now, because a recent one failed.
    bool isPaused = false;
};

/// Versions and load of one model, as input of the planner.
struct ModelWeightState {
    /// Newest version that the trainer has published.
    std::uint64_t published = 0;
    /// Highest minimum version of the open batches; zero when no batch is open.
    std::uint64_t required = 0;
    /// Items of the model are queued for a free slot.
    bool hasWaitingItems = false;
    /// Recent steps were short of slots, so all endpoints should load the published version before the next step.
    bool isShortOfSlots = false;
};

/// Number of endpoints of a fleet that can load weights at the same time without slowing each other down.
int maxConcurrentLoads(std::size_t endpoints);

/// Selects the endpoints to be ordered to load the published version now, most urgent first.
/// A step accepts the version before the published one, so an endpoint that is one version behind can still serve the step that
/// follows a publication. Endpoints that are further behind, or below the minimum version of an open batch, are urgent and
/// ordered at once. The others are ordered until half of all endpoints have the published version, so that the next publication
/// finds only half of them two versions behind. When steps are short of slots and no item is queued, all endpoints are ordered.
/// While items are queued the limit stays at half, because an endpoint takes no new item of its model while it loads.
/// Returns at most freeLoads ids; with urgentOnly, only urgent endpoints.
std::vector<std::string> planOrders(const std::vector<WeightEndpoint> &endpoints, const ModelWeightState &state, int freeLoads, bool urgentOnly = false);

}
