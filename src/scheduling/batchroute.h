#pragma once

#include "catalog/systemview.h"
#include "scheduling/openbatch.h"

namespace Basilbend
{

/// The route of a batch in the current configuration; null if there is none.
const RouteRule *routeOf(const SystemView &view, const OpenBatch &batch);

BatchRules rulesOf(const RouteRule &route);

/// The rules of a batch; the defaults if its route is gone.
BatchRules rulesOf(const SystemView &view, const OpenBatch &batch);

}
