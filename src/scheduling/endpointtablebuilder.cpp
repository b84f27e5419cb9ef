#include "scheduling/endpointtablebuilder.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Fraction of an endpoint's memory that the forecast of its runs may fill; the estimates of clients are often too low.
constexpr double MaxMemoryFraction = 0.92;

bool routesTo(const RouteRule &route, const std::string &service)
{
    return std::any_of(
        route.shares.begin(), route.shares.end(), [&service](const TrafficShare &share) { return share.weight > 0 && share.service == service; });
}

}

EndpointTableBuilder::EndpointTableBuilder(
    const SystemView &view, const EndpointHealth &health, const RunTracker &tracker, const RequestLimiter &requestLimiter, EndpointTableHooks hooks)
    : m_view(view)
    , m_health(health)
    , m_runTracker(tracker)
    , m_requestLimiter(requestLimiter)
    , m_hooks(std::move(hooks))
{
}

EndpointTable EndpointTableBuilder::buildTable(Timestamp now) const
{
    const double median = m_health.medianIntervalMs(now);
    EndpointTable table;
    for (const auto &service : m_view.routes()->configuration().services) {
        if (!service.engine) {
            continue;
        }
        const auto capacity = static_cast<std::uint64_t>(MaxMemoryFraction * static_cast<double>(service.engine->kvCacheTokens));
        for (const auto *record : m_view.endpoints().readyEndpoints(service.name)) {
            if (m_health.isSuspended(record->id, now)) {
                continue;
            }
            table.endpoints.push_back(describe(*record, now, median));
            table.endpoints.back().tokenCapacity = capacity;
            table.endpoints.back().startsLeft = m_requestLimiter.requestsLeft(*record, service, now);
            table.records.push_back(record);
        }
    }
    return table;
}

void EndpointTableBuilder::setEligibility(EndpointTable &table, const RouteRule &route, const std::string &workspace, const std::string &model) const
{
    const auto *restrictions = m_view.routes()->workspaceNamed(workspace);
    for (std::size_t i = 0; i < table.endpoints.size(); ++i) {
        auto &endpoint = table.endpoints[i];
        const auto &record = *table.records[i];
        endpoint.isEligible =
            routesTo(route, record.service) && m_view.residency().allows(route, restrictions, record.zone) && !m_hooks.isLoading(record.id, model);
        endpoint.version = endpoint.isEligible ? m_hooks.servedVersion(record, model) : 0;
    }
}

PlacementEndpoint EndpointTableBuilder::describe(const EndpointRecord &record, Timestamp now, double medianIntervalMs) const
{
    PlacementEndpoint endpoint;
    endpoint.id = record.id;
    endpoint.slots = record.slots;
    endpoint.running = m_runTracker.runCount(record.id);
    endpoint.forecast = m_runTracker.forecast(record.id);
    endpoint.isSlow = m_health.isSlow(record.id, medianIntervalMs, now);
    const double interval = m_health.lastIntervalMs(record.id);
    endpoint.relativeEventTime = interval > 0 && medianIntervalMs > 0 ? interval / medianIntervalMs : 1;
    return endpoint;
}

}
