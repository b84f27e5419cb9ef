#pragma once

#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Basilbend
{

/// Status of an endpoint, reported by its sidecar to the entries every second.
struct EndpointReport {
    std::string node;
    std::uint64_t incarnation = 0;
    std::string zone;
    std::string region;
    /// "address:port" of the sidecar.
    std::string address;

    /// Name of the policy (model engine) or of the route (plain service) that the endpoint serves.
    std::string serves;
    bool isService = false;

    /// Confirmed weight version; zero if none is confirmed.
    std::uint64_t version = 0;
    bool inRotation = false;
    bool swapping = false;
    bool leaving = false;

    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t capacity = 0;
    /// Number of requests that a workspace within its guaranteed share competes with; see FairQueue::competing().
    double competing = 0;
    Milliseconds expectedWait{0};
};

nlohmann::json toJson(const EndpointReport &report);

/// Returns MalformedRequest if a field is missing or invalid.
Result<EndpointReport> endpointReportFromJson(const nlohmann::json &object);

}
