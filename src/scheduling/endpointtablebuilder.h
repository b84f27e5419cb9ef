#pragma once

#include "catalog/systemview.h"
#include "forwarding/requestlimiter.h"
#include "scheduling/endpointhealth.h"
#include "scheduling/placement.h"
#include "scheduling/runtracker.h"

#include <functional>
#include <string>
#include <vector>

namespace Basilbend
{

struct EndpointTableHooks {
    /// Latest known version of a model's weights at an endpoint.
    std::function<std::uint64_t(const EndpointRecord &, const std::string &model)> servedVersion;
    /// Whether the endpoint is changing its weights and refuses new runs.
    std::function<bool(const std::string &endpoint, const std::string &model)> isLoading;
    /// Version that a run must name because the endpoint has not reported it yet; zero if it has.
    std::function<std::uint64_t(const std::string &endpoint, const std::string &model)> unreportedVersion;
};

/// All model endpoints at one time, for one round of placement over all batches.
struct EndpointTable {
    std::vector<PlacementEndpoint> endpoints;
    /// Registry record of each endpoint, in the same order; valid until the registry changes.
    std::vector<const EndpointRecord *> records;
};

/// Builds the endpoint table for placement from the registry, the configuration and the observed runs. Properties that do
/// not depend on the model are collected once per round, because a round combines hundreds of endpoints with dozens of
/// batches.
class EndpointTableBuilder
{
public:
    EndpointTableBuilder(
        const SystemView &view, const EndpointHealth &health, const RunTracker &tracker, const RequestLimiter &requestLimiter, EndpointTableHooks hooks);

    /// Ready endpoints of all services that run models, except suspended ones.
    EndpointTable buildTable(Timestamp now) const;

    /// Sets which endpoints of the table may take new runs of the model for the route and the workspace, and their versions of the
    /// model.
    void setEligibility(EndpointTable &table, const RouteRule &route, const std::string &workspace, const std::string &model) const;

private:
    PlacementEndpoint describe(const EndpointRecord &record, Timestamp now, double medianIntervalMs) const;

    const SystemView &m_view;
    const EndpointHealth &m_health;
    const RunTracker &m_runTracker;
    const RequestLimiter &m_requestLimiter;
    EndpointTableHooks m_hooks;
};

}
