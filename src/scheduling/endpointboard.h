#pragma once

#include "catalog/systemview.h"
#include "scheduling/endpointpace.h"
#include "scheduling/endpointuse.h"
#include "scheduling/placement.h"

#include <functional>
#include <string>
#include <vector>

namespace Basilbend
{

struct EndpointBoardHooks {
    /// The version of a model's weights at an endpoint, as far as it is known.
    std::function<std::uint64_t(const EndpointRecord &, const std::string &model)> versionAt;
    /// The endpoint is changing its weights and refuses new runs.
    std::function<bool(const std::string &endpoint, const std::string &model)> isLoading;
    /// The version that a run must name because the endpoint has not reported it yet; zero: it has.
    std::function<std::uint64_t(const std::string &endpoint, const std::string &model)> unreportedVersion;
};

/// All model endpoints at one moment, for one round of placement over all batches.
struct EndpointTable {
    std::vector<PlacementEndpoint> endpoints;
    /// The entry of each endpoint; valid until the registry changes.
    std::vector<const EndpointRecord *> records;
};

/// Gathers what placement has to know of the model endpoints, from the registry, the configuration and what runs have shown.
/// What does not depend on the model is gathered once a round, because hundreds of endpoints stand against dozens of batches.
class EndpointBoard
{
public:
    EndpointBoard(const SystemView &view, const EndpointPace &pace, const EndpointUse &use, EndpointBoardHooks hooks);

    /// All endpoints of services that run models.
    EndpointTable tableAt(Timestamp now) const;

    /// Sets which endpoints of the table take new runs of the model on the route, and their versions of it.
    void select(EndpointTable &table, const RouteRule &route, const std::string &model) const;

private:
    PlacementEndpoint describe(const EndpointRecord &record, Timestamp now, double medianGapMs) const;

    const SystemView &m_view;
    const EndpointPace &m_pace;
    const EndpointUse &m_use;
    EndpointBoardHooks m_hooks;
};

}
