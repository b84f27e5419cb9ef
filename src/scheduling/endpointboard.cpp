#include "scheduling/endpointboard.h"

namespace Basilbend
{

namespace
{

/// Part of an endpoint's memory that the forecast of its runs may fill; the estimates of clients are often too low.
constexpr double MemoryShare = 0.92;

}

EndpointBoard::EndpointBoard(const SystemView &view, const EndpointPace &pace, const EndpointUse &use, EndpointBoardHooks hooks)
    : m_view(view)
    , m_pace(pace)
    , m_use(use)
    , m_hooks(std::move(hooks))
{
}

std::vector<PlacementEndpoint> EndpointBoard::endpointsFor(const RouteRule &route, const std::string &model, Timestamp now) const
{
    const double median = m_pace.medianGapMs(now);
    std::vector<PlacementEndpoint> endpoints;
    for (const auto &share : route.shares) {
        const auto *service = m_view.routes()->serviceNamed(share.service);
        const auto capacity = service != nullptr && service->engine ? service->engine->kvCacheTokens : 0;
        for (const auto *record : m_view.endpoints().readyOf(share.service)) {
            if (share.weight <= 0 || m_pace.isSuspended(record->id, now) || m_hooks.isLoading(record->id, model)) {
                continue;
            }
            auto endpoint = describe(*record, model, now, median);
            endpoint.tokenCapacity = static_cast<std::uint64_t>(MemoryShare * static_cast<double>(capacity));
            endpoints.push_back(std::move(endpoint));
        }
    }
    return endpoints;
}

PlacementEndpoint EndpointBoard::describe(const EndpointRecord &record, const std::string &model, Timestamp now, double medianGapMs) const
{
    PlacementEndpoint endpoint;
    endpoint.id = record.id;
    endpoint.slots = record.slots;
    endpoint.running = m_use.running(record.id);
    endpoint.forecast = m_use.forecast(record.id);
    endpoint.version = m_hooks.versionAt(record, model);
    endpoint.isSlow = m_pace.isSlow(record.id, now);
    const double gap = m_pace.lastGapMs(record.id);
    endpoint.pace = gap > 0 && medianGapMs > 0 ? gap / medianGapMs : 1;
    return endpoint;
}

}
