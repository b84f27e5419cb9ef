#include "scheduling/endpointboard.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Fraction of an endpoint's memory that the forecast of its runs may fill; the estimates of clients are often too low.
constexpr double MemoryShare = 0.92;

bool leadsTo(const RouteRule &route, const std::string &service)
{
    return std::any_of(
        route.shares.begin(), route.shares.end(), [&service](const TrafficShare &share) { return share.weight > 0 && share.service == service; });
}

}

EndpointBoard::EndpointBoard(const SystemView &view, const EndpointPace &pace, const EndpointUse &use, EndpointBoardHooks hooks)
    : m_view(view)
    , m_pace(pace)
    , m_use(use)
    , m_hooks(std::move(hooks))
{
}

EndpointTable EndpointBoard::tableAt(Timestamp now) const
{
    const double median = m_pace.medianGapMs(now);
    EndpointTable table;
    for (const auto &service : m_view.routes()->configuration().services) {
        if (!service.engine) {
            continue;
        }
        const auto capacity = static_cast<std::uint64_t>(MemoryShare * static_cast<double>(service.engine->kvCacheTokens));
        for (const auto *record : m_view.endpoints().readyEndpoints(service.name)) {
            if (m_pace.isSuspended(record->id, now)) {
                continue;
            }
            table.endpoints.push_back(describe(*record, now, median));
            table.endpoints.back().tokenCapacity = capacity;
            table.records.push_back(record);
        }
    }
    return table;
}

void EndpointBoard::select(EndpointTable &table, const RouteRule &route, const std::string &model) const
{
    for (std::size_t i = 0; i < table.endpoints.size(); ++i) {
        auto &endpoint = table.endpoints[i];
        const auto &record = *table.records[i];
        endpoint.isOpen = leadsTo(route, record.service) && !m_hooks.isLoading(record.id, model);
        endpoint.version = endpoint.isOpen ? m_hooks.versionAt(record, model) : 0;
    }
}

PlacementEndpoint EndpointBoard::describe(const EndpointRecord &record, Timestamp now, double medianGapMs) const
{
    PlacementEndpoint endpoint;
    endpoint.id = record.id;
    endpoint.slots = record.slots;
    endpoint.running = m_use.running(record.id);
    endpoint.forecast = m_use.forecast(record.id);
    endpoint.isSlow = m_pace.isSlow(record.id, medianGapMs, now);
    const double gap = m_pace.lastGapMs(record.id);
    endpoint.pace = gap > 0 && medianGapMs > 0 ? gap / medianGapMs : 1;
    return endpoint;
}

}
