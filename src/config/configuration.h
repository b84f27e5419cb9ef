#pragma once

#include "base/timestamp.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// A plan: the rate limits and the capacity share of the workspaces that are assigned to it.
struct Plan {
    std::string name;

    /// Limit on generated tokens per second for each workspace on the plan, summed over all entries; zero means no limit.
    std::uint64_t tokensPerSecond = 0;

    /// Limit on requests per second, summed over all entries; zero means no limit.
    std::uint64_t requestsPerSecond = 0;

    /// Relative share of the capacity that is guaranteed to each workspace on the plan; at least 1.
    std::uint32_t share = 1;
};

/// The policies and routes that a plan may use.
struct Access {
    std::string plan;

    /// Policies (model names) that requests may name.
    std::set<std::string> policies;

    /// Routes to plain services that may be called.
    std::set<std::string> routes;

    /// Lowest permitted weight version per policy; a policy without an entry may use any version.
    std::map<std::string, std::uint64_t> minimumVersions;
};

/// A customer's workspace and the plan assigned to it.
struct Workspace {
    std::string name;
    std::string plan;
};

/// A client's API key. Only its digest is stored; the id is public and identifies the key in logs and spans.
struct KeyRecord {
    std::string id;
    std::string digest;
    std::string workspace;
    bool withdrawn = false;
};

/// A route to a plain service.
struct Route {
    std::string name;

    /// Whether requests need no key.
    bool open = false;

    /// HTTP methods that may be retried when the outcome of an attempt is unknown.
    std::set<std::string> repeatableMethods;
};

bool operator==(const Plan &a, const Plan &b);
bool operator==(const Access &a, const Access &b);
bool operator==(const Workspace &a, const Workspace &b);
bool operator==(const KeyRecord &a, const KeyRecord &b);
bool operator==(const Route &a, const Route &b);

/// The lists that operators edit.
enum class ConfigurationList {
    Plans,
    Access,
    Workspaces,
    Routes,
    Keys,
};

/// All operator-defined configuration at one revision. Snapshots are immutable once published to traffic threads.
struct Configuration {
    std::uint64_t revision = 0;
    std::map<std::string, Plan> plans;

    /// By plan name.
    std::map<std::string, Access> access;
    std::map<std::string, Workspace> workspaces;

    /// By digest.
    std::map<std::string, KeyRecord> keys;
    std::map<std::string, Route> routes;

    /// The revision that last changed each list; a list without an entry was never changed.
    std::map<ConfigurationList, std::uint64_t> listRevisions;
};

bool operator==(const Configuration &a, const Configuration &b);

}
