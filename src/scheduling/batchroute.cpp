#include "scheduling/batchroute.h"

namespace Basilbend
{

const RouteRule *routeOf(const SystemView &view, const OpenBatch &batch)
{
    return view.routes() == nullptr ? nullptr : view.routes()->routeNamed(batch.index().route);
}

BatchRules rulesOf(const RouteRule &route)
{
    return {route.attempts, route.retention, route.singleVersion};
}

BatchRules rulesOf(const SystemView &view, const OpenBatch &batch)
{
    const auto *route = routeOf(view, batch);
    return route == nullptr ? BatchRules() : rulesOf(*route);
}

}
