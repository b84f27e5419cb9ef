#include "forwarding/warmupchoice.h"

namespace Basilbend
{

std::vector<const EndpointRecord *>
avoidWarmingEndpoints(const std::vector<const EndpointRecord *> &endpoints, const ServiceSpec &service, const RequestLimiter &limiter, Timestamp now)
{
    if (service.warmupRequestsPerSecond <= 0) {
        return endpoints;
    }
    std::vector<const EndpointRecord *> warm;
    std::vector<const EndpointRecord *> warming;
    for (const auto *endpoint : endpoints) {
        if (endpoint->warmupRemaining.count() == 0) {
            warm.push_back(endpoint);
        } else if (limiter.warmupRequestsLeft(*endpoint, service, now) > 0) {
            warming.push_back(endpoint);
        }
    }
    return warm.empty() ? warming : warm;
}

}
