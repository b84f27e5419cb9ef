#pragma once

#include "base/random.h"
#include "catalog/serviceconfiguration.h"

#include <string>

namespace Basilbend
{

/// Draws the service that gets a request of the route, by the weights of its shares. The route must have a share.
const std::string &chooseService(const RouteRule &route, Random &random);

}
