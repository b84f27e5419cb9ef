#pragma once

#include "base/timestamp.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// What may be repeated on a route, and how its answers are delivered.
enum class RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the client.
    NonIdempotent,
    /// Answers with a stream of events; runs at most once unless the route can resume.
    Streaming,
    /// Accepts batches of items that run later.
    Batch,
};

/// A part of a route's traffic.
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
    /// Longest time that a request may be kept waiting.
    Milliseconds timeout{10000};
    /// Time in which an answer has its full worth.
    Milliseconds latencyTarget{1000};
    /// Rank; zero is the most urgent.
    int priority = 0;
    /// How many endpoints may run one attempt of a client.
    int attempts = 1;
    /// Open to all callers, without a key.
    bool isPublic = false;
    /// Streams may go on at another endpoint.
    bool canResume = false;
    /// Samples must come from one version of the weights.
    bool singleVersion = false;
    /// Batches: an item may be given up this long after its batch was submitted.
    Milliseconds retention{0};
    /// Batches: all results are due this long after the batch was submitted.
    Milliseconds resultDeadline{0};
    std::vector<TrafficShare> shares;
};

/// What the endpoints of a model service can hold.
struct EngineSpec {
    int slots = 1;
    std::uint64_t kvCacheTokens = 0;
    std::vector<std::string> models;
};

struct ServiceSpec {
    std::string name;
    std::optional<EngineSpec> engine;
};

/// Limits for what clients send.
struct ClientLimits {
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 32 * 1024 * 1024;
    Milliseconds headTimeout{3000};
    Milliseconds idleTimeout{15000};
};

struct WorkspaceKeys {
    std::string workspace;
    std::vector<std::string> apiKeys;
};

/// One version of the operators' configuration, in full.
struct ServiceConfiguration {
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::vector<ServiceSpec> services;
    ClientLimits limits;
    /// Empty: no route asks for a key.
    std::vector<WorkspaceKeys> workspaces;
};

}
