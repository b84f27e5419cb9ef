#pragma once

#include "base/timestamp.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// How often requests of a route may be executed, and how the responses are delivered.
enum class RouteKind {
    /// Requests may be executed more than once.
    Idempotent,
    /// Requests are executed at most once for each attempt of the client.
    NonIdempotent,
    /// The response is a stream of events. Requests are executed at most once unless the route can resume streams.
    Streaming,
    /// Requests submit batches of items that are executed later.
    Batch,
};

/// Weight of a service in the traffic of a route.
struct TrafficShare {
    std::string service;
    int weight = 1;
};

/// One route of the operators' configuration.
struct RouteRule {
    std::string name;
    std::string host;
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /// Maximum time from the arrival of a request to its response.
    Milliseconds timeout{10000};
    /// Response time up to which an answer has its full value.
    Milliseconds latencyTarget{1000};
    /// Priority class; zero is the most urgent.
    int priority = 0;
    /// Maximum number of attempts of one request that endpoints may execute.
    int attempts = 1;
    /// Requests need no API key.
    bool isPublic = false;
    /// Interrupted streams may be resumed at another endpoint.
    bool canResume = false;
    /// All samples must come from one version of the weights.
    bool singleVersion = false;
    /// Batches only: time after the submission of a batch after which its items may be abandoned.
    Milliseconds retention{0};
    /// Batches only: time after the submission of a batch within which all results are due.
    Milliseconds resultDeadline{0};
    std::vector<TrafficShare> shares;
    /// Regions in which requests of the route may be processed; empty: any region.
    std::vector<std::string> allowedRegions;
};

/// Capacity of each endpoint of a model service.
struct EngineSpec {
    int slots = 1;
    std::uint64_t kvCacheTokens = 0;
    std::vector<std::string> models;
};

struct ServiceSpec {
    std::string name;
    /// Path at which an endpoint answers whether it is healthy; empty if the operators named none.
    std::string healthPath = {};
    /// Requests per second that an endpoint bears while it warms up after its start; zero: it needs no warm-up.
    double warmupRequestsPerSecond = 0;
    std::optional<EngineSpec> engine;

    /// Path at which an endpoint says who it is; empty for endpoints that serve models, which report their state instead.
    std::string identityPath() const
    {
        return engine ? std::string() : healthPath;
    }
};

/// Limits on client requests.
struct ClientLimits {
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 32 * 1024 * 1024;
    Milliseconds headTimeout{3000};
    Milliseconds idleTimeout{15000};
};

struct WorkspaceKeys {
    std::string workspace;
    std::vector<std::string> apiKeys;
    /// Regions in which requests of the workspace may be processed; empty: any region.
    std::vector<std::string> allowedRegions = {};
};

/// One complete version of the operators' configuration.
struct ServiceConfiguration {
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::vector<ServiceSpec> services;
    ClientLimits limits;
    /// If empty, no route requires an API key.
    std::vector<WorkspaceKeys> workspaces;
};

}
