#pragma once

#include "base/timestamp.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Basilbend
{

/// A model that an endpoint serves, with the version of its weights.
struct ServedModel {
    std::string name;
    std::uint64_t version = 0;
};

inline bool operator==(const ServedModel &a, const ServedModel &b)
{
    return a.name == b.name && a.version == b.version;
}

/// The registration of an endpoint, as written by the endpoint.
struct EndpointRecord {
    /// Identifies the endpoint; it may restart under the same id.
    std::string id;
    std::string service;
    /// "IP:PORT".
    std::string address;
    std::string zone;
    /// Version of the endpoint's software, without any order; not of its weights.
    std::string softwareVersion = {};
    int slots = 1;
    bool isDraining = false;
    /// Remaining time for which the endpoint is slow after its start.
    Milliseconds warmupRemaining{0};
    /// Unix time of the start of the endpoint in milliseconds; distinguishes starts under the same id.
    std::int64_t startedAtMs = 0;
    std::vector<ServedModel> models;

    /// Returns the version of a model, or zero if the endpoint does not serve it.
    std::uint64_t versionOf(const std::string &model) const
    {
        const auto it = std::find_if(models.begin(), models.end(), [&model](const ServedModel &served) { return served.name == model; });
        return it == models.end() ? 0 : it->version;
    }
};

inline bool operator==(const EndpointRecord &a, const EndpointRecord &b)
{
    return std::tie(a.id, a.service, a.address, a.zone, a.softwareVersion, a.slots, a.isDraining, a.warmupRemaining, a.startedAtMs, a.models)
        == std::tie(b.id, b.service, b.address, b.zone, b.softwareVersion, b.slots, b.isDraining, b.warmupRemaining, b.startedAtMs, b.models);
}

}
