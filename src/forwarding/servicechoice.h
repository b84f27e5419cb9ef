#pragma once

#include "base/random.h"
#include "catalog/serviceconfiguration.h"

#include <string>

namespace Basilbend
{

/// Selects the service for a request of the route at random, weighted by the route's traffic shares. The route must have at
/// least one share.
const std::string &chooseService(const RouteRule &route, Random &random);

}
