#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Basilbend
{

/// An endpoint of one model as the planner sees it.
struct WeightEndpoint {
    std::string id;
    std::uint64_t version = 0;
    int running = 0;
    /// An order is on its way or being carried out.
    bool isLoading = false;
    /// Orders can't be sent there at the moment.
    bool isPaused = false;
};

struct WeightDemand {
    /// The newest version that the trainer has published.
    std::uint64_t published = 0;
    /// The newest version that an open batch needs at least; zero: no batch is open.
    std::uint64_t required = 0;
    /// Items of the model wait for a place.
    bool hasWaiting = false;
    /// Steps were lately short of places, so all endpoints should have the published version before the next one.
    bool isTight = false;
};

/// How many endpoints of a fleet may change weights at once without slowing each other down.
int loadsAtOnce(std::size_t endpoints);

/// Chooses the endpoints that are ordered to load the published version now, most urgent first.
/// A step allows the version before the published one, so an endpoint that is one version behind still serves the step that
/// follows a publication. Endpoints that are further behind, or that no open batch can use, are ordered at once. Of the others
/// half follow, so that each version finds only half of the endpoints in need of an order. Where steps are short of places all
/// of them follow while no item waits; while items wait it stays at half, because an endpoint that loads takes no new item of
/// its model.
/// Returns at most freeLoads; with urgentOnly those that no step can use.
std::vector<std::string> planOrders(const std::vector<WeightEndpoint> &endpoints, const WeightDemand &demand, int freeLoads, bool urgentOnly = false);

}
