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
};

/// Gathers what placement has to know of the endpoints of a route, from the registry, the configuration and what runs have
/// shown.
class EndpointBoard
{
public:
    EndpointBoard(const SystemView &view, const EndpointPace &pace, const EndpointUse &use, EndpointBoardHooks hooks);

    /// The endpoints that take new runs of the model now.
    std::vector<PlacementEndpoint> endpointsFor(const RouteRule &route, const std::string &model, Timestamp now) const;

private:
    PlacementEndpoint describe(const EndpointRecord &record, const std::string &model, Timestamp now, double medianGapMs) const;

    const SystemView &m_view;
    const EndpointPace &m_pace;
    const EndpointUse &m_use;
    EndpointBoardHooks m_hooks;
};

}
