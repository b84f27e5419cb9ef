#include "forwarding/servicechoice.h"

#include <algorithm>

namespace Basilbend
{

const std::string &chooseService(const RouteRule &route, Random &random)
{
    std::uint64_t total = 0;
    for (const auto &share : route.shares) {
        total += static_cast<std::uint64_t>(std::max(share.weight, 0));
    }
    if (total == 0) {
        return route.shares.front().service;
    }
    auto drawn = random.below(total);
    for (const auto &share : route.shares) {
        const auto weight = static_cast<std::uint64_t>(std::max(share.weight, 0));
        if (drawn < weight) {
            return share.service;
        }
        drawn -= weight;
    }
    return route.shares.back().service;
}

}
