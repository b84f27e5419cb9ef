#pragma once

#include "base/timestamp.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Basilbend
{

/// A model and the version of its weights that an endpoint serves.
struct ServedModel {
    std::string name;
    std::uint64_t version = 0;
};

inline bool operator==(const ServedModel &a, const ServedModel &b)
{
    return a.name == b.name && a.version == b.version;
}

/// What an endpoint says of itself in the registry.
struct EndpointRecord {
    /// Identifies one start of the endpoint, unless it comes back under the id that it had; then startedAt differs.
    std::string id;
    std::string service;
    /// "IP:PORT".
    std::string address;
    std::string zone;
    int slots = 1;
    bool isDraining = false;
    /// How much longer the endpoint stays slow after its start.
    Milliseconds warmupRemaining{0};
    /// Unix time of its start.
    std::int64_t startedAtMs = 0;
    std::vector<ServedModel> models;

    /// Zero when the endpoint does not serve the model.
    std::uint64_t versionOf(const std::string &model) const
    {
        const auto it = std::find_if(models.begin(), models.end(), [&model](const ServedModel &served) { return served.name == model; });
        return it == models.end() ? 0 : it->version;
    }
};

inline bool operator==(const EndpointRecord &a, const EndpointRecord &b)
{
    return std::tie(a.id, a.service, a.address, a.zone, a.slots, a.isDraining, a.warmupRemaining, a.startedAtMs, a.models)
        == std::tie(b.id, b.service, b.address, b.zone, b.slots, b.isDraining, b.warmupRemaining, b.startedAtMs, b.models);
}

}
