#pragma once

#include "catalog/endpointrecord.h"
#include "forwarding/requestlimiter.h"

#include <vector>

namespace Basilbend
{

/// Selects the endpoints for a live request to a service with a warm-up rate, which many gateways send to without knowing of each
/// other. Endpoints that warm up are left out. If all of them do, those are returned to which the limiter allows a request.
std::vector<const EndpointRecord *>
avoidWarmingEndpoints(const std::vector<const EndpointRecord *> &endpoints, const ServiceSpec &service, const RequestLimiter &limiter, Timestamp now);

}
