#include "catalog/configurationcheck.h"

#include "http/connectionbudget.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace Basilbend
{

namespace
{

using Findings = std::vector<Finding>;

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

std::string milliseconds(Milliseconds span)
{
    return std::to_string(span.count()) + " ms";
}

void warn(Findings &findings, const char *code, const std::string &subject, std::string message)
{
    findings.push_back({FindingSeverity::Warning, code, subject, std::move(message)});
}

void note(Findings &findings, const char *code, const std::string &subject, std::string message)
{
    findings.push_back({FindingSeverity::Note, code, subject, std::move(message)});
}

/// isRepeated: another route has the same host and prefix.
void checkRouteMatches(Findings &findings, const RouteTable &table, const RouteRule &route, bool isRepeated)
{
    const bool hasSlashes = !route.pathPrefix.empty() && route.pathPrefix.front() == '/' && route.pathPrefix.back() == '/';
    if (!hasSlashes) {
        warn(findings, "prefix_without_slash", route.name, "path_prefix " + quoted(route.pathPrefix) + " must begin and end with a slash");
    }
    // Looking up each route would take time in proportion to the square of the routes of a host.
    const auto *found = isRepeated ? table.find(route.host, route.pathPrefix) : nullptr;
    if (found != nullptr && found != &route) {
        warn(findings, "route_hidden", route.name, "never matches: route " + quoted(found->name) + " has the same host and path_prefix");
    }
}

void checkRouteShares(Findings &findings, const std::unordered_set<std::string> &services, const RouteRule &route)
{
    int total = 0;
    for (const auto &share : route.shares) {
        total += share.weight;
        if (share.weight == 0) {
            warn(findings, "weight_zero", route.name, "service " + quoted(share.service) + " has weight 0 and gets no requests");
        }
        if (services.count(share.service) == 0) {
            warn(findings, "service_unknown", route.name, "service " + quoted(share.service) + " is not defined; its requests are refused");
        }
    }
    if (total == 0) {
        warn(findings, "no_service", route.name, "no service has a weight above 0; all requests are refused");
    }
}

void checkRouteTimes(Findings &findings, const RouteRule &route)
{
    if (route.timeout < route.latencyTarget) {
        warn(findings,
             "timeout_below_target",
             route.name,
             "timeout_ms " + milliseconds(route.timeout) + " is shorter than target_latency_ms " + milliseconds(route.latencyTarget));
    }
    if (route.kind != RouteKind::Batch) {
        return;
    }
    if (route.retention.count() > 0 && route.retention < route.resultDeadline) {
        warn(findings,
             "retention_below_deadline",
             route.name,
             "items may be abandoned after " + milliseconds(route.retention) + ", before result_deadline_ms " + milliseconds(route.resultDeadline));
    }
}

void checkRoutes(Findings &findings, const RouteTable &table)
{
    std::unordered_set<std::string> names;
    std::unordered_set<std::string> services;
    for (const auto &service : table.configuration().services) {
        services.insert(service.name);
    }
    std::unordered_map<std::string, int> routesAt;
    for (const auto &route : table.configuration().routes) {
        ++routesAt[route.host + route.pathPrefix];
    }
    for (const auto &route : table.configuration().routes) {
        if (!names.insert(route.name).second) {
            warn(findings, "route_name_repeated", route.name, "more than one route has this name; batches find only the first");
        }
        checkRouteMatches(findings, table, route, routesAt.at(route.host + route.pathPrefix) > 1);
        checkRouteShares(findings, services, route);
        checkRouteTimes(findings, route);
    }
}

void checkServices(Findings &findings, const RouteTable &table)
{
    std::unordered_set<std::string> used;
    for (const auto &route : table.configuration().routes) {
        for (const auto &share : route.shares) {
            used.insert(share.service);
        }
    }
    for (const auto &service : table.configuration().services) {
        if (used.count(service.name) == 0) {
            warn(findings, "service_unused", service.name, "no route uses this service");
        }
        const double rate = service.warmupRequestsPerSecond;
        if (rate > 0 && rate < 1) {
            warn(findings, "warmup_rate_below_one", service.name, "cold_per_s is below 1: an endpoint that warms up may get no request at all");
        }
        if (service.engine && service.engine->models.empty()) {
            warn(findings, "engine_without_models", service.name, "the engine serves no model");
        }
    }
}

void checkWorkspaces(Findings &findings, const RouteTable &table)
{
    std::unordered_map<std::string, std::string> ownerOfKey;
    std::unordered_set<std::string> names;
    for (const auto &workspace : table.configuration().workspaces) {
        const auto &name = workspace.workspace;
        if (!names.insert(name).second) {
            warn(findings, "workspace_repeated", name, "more than one workspace has this name; the restrictions of the first apply");
        }
        if (workspace.apiKeys.empty()) {
            warn(findings, "workspace_without_key", name, "has no key, so nothing can be sent for it");
        }
        for (const auto &key : workspace.apiKeys) {
            const auto [it, isNew] = ownerOfKey.emplace(key, name);
            if (!isNew) {
                warn(findings, "key_repeated", name, "one of its keys belongs to workspace " + quoted(it->second) + " already, which it stands for");
            }
        }
    }
}

void checkLimits(Findings &findings, const ClientLimits &limits, std::size_t hostMemoryBytes)
{
    if (limits.maxHeadBytes == 0 || limits.headTimeout.count() <= 0 || limits.idleTimeout.count() <= 0) {
        warn(findings, "limit_zero", {}, "max_header_bytes, header_timeout_ms and idle_timeout_ms must be above 0, or every request is refused");
    }
    if (limits.headTimeout > limits.idleTimeout) {
        warn(findings,
             "head_timeout_above_idle",
             {},
             "header_timeout_ms " + milliseconds(limits.headTimeout) + " is longer than idle_timeout_ms " + milliseconds(limits.idleTimeout));
    }
    const auto most = connectionLimitsFor(hostMemoryBytes, 0).maxHeldBytes;
    if (hostMemoryBytes > 0 && limits.maxBodyBytes > most) {
        warn(findings,
             "body_above_memory",
             {},
             "max_body_bytes " + std::to_string(limits.maxBodyBytes) + " is more than connections may hold on the smallest host (" + std::to_string(most)
                 + "); such requests are refused");
    }
}

/// The requests that a route of the version in force serves, after the next one.
void compareReach(Findings &findings, const RouteTable &next, const RouteRule &route)
{
    const auto *same = next.routeNamed(route.name);
    const bool isAtSamePlace = same != nullptr && same->host == route.host && same->pathPrefix == route.pathPrefix;
    const auto *found = isAtSamePlace ? same : next.find(route.host, route.pathPrefix);
    const auto where = route.host + route.pathPrefix;
    if (found == nullptr) {
        warn(findings, "requests_refused", route.name, "requests to " + where + " will find no route");
        return;
    }
    const auto serviceNames = [](const RouteRule &rule) {
        std::set<std::string> names;
        for (const auto &share : rule.shares) {
            if (share.weight > 0) {
                names.insert(share.service);
            }
        }
        return names;
    };
    if (serviceNames(*found) != serviceNames(route)) {
        note(findings, "service_changed", route.name, "requests to " + where + " will reach other services, by route " + quoted(found->name));
    }
}

void compareFields(Findings &findings, const RouteRule &before, const RouteRule &after)
{
    const auto changed = [&](const char *field) { note(findings, "route_changed", after.name, std::string(field) + " differs"); };
    if (before.kind != after.kind) {
        changed("kind");
    }
    if (before.host != after.host || before.pathPrefix != after.pathPrefix) {
        changed("host or path_prefix");
    }
    if (before.timeout != after.timeout) {
        note(findings, "route_changed", after.name, "timeout_ms " + milliseconds(before.timeout) + " becomes " + milliseconds(after.timeout));
    }
    if (before.latencyTarget != after.latencyTarget || before.resultDeadline != after.resultDeadline || before.retention != after.retention) {
        changed("target_latency_ms, result_deadline_ms or retention_s");
    }
    if (before.attempts != after.attempts || before.priority != after.priority) {
        changed("attempts or priority");
    }
    if (before.isPublic && !after.isPublic) {
        warn(findings, "key_required", after.name, "is public no longer; requests without a key will be refused");
    } else if (before.isPublic != after.isPublic) {
        changed("public");
    }
    if (before.allowedRegions != after.allowedRegions) {
        changed("allowed_regions");
    }
}

void compareRoutes(Findings &findings, const RouteTable &inForce, const RouteTable &next)
{
    for (const auto &route : inForce.configuration().routes) {
        const auto *after = next.routeNamed(route.name);
        if (after == nullptr) {
            note(findings, "route_removed", route.name, "is removed");
        } else {
            compareFields(findings, route, *after);
        }
        compareReach(findings, next, route);
    }
    for (const auto &route : next.configuration().routes) {
        if (inForce.routeNamed(route.name) == nullptr) {
            note(findings, "route_added", route.name, "is added at " + route.host + route.pathPrefix);
        }
    }
}

void compareServices(Findings &findings, const RouteTable &inForce, const RouteTable &next)
{
    const auto namesOf = [](const RouteTable &table) {
        std::set<std::string> names;
        for (const auto &service : table.configuration().services) {
            names.insert(service.name);
        }
        return names;
    };
    const auto before = namesOf(inForce);
    const auto after = namesOf(next);
    for (const auto &name : before) {
        if (after.count(name) == 0) {
            note(findings, "service_removed", name, "is removed");
        }
    }
    for (const auto &name : after) {
        if (before.count(name) == 0) {
            note(findings, "service_added", name, "is added");
        }
    }
}

void compareKeys(Findings &findings, const RouteTable &inForce, const RouteTable &next)
{
    for (const auto &workspace : inForce.configuration().workspaces) {
        std::size_t withdrawn = 0;
        std::size_t moved = 0;
        for (const auto &key : workspace.apiKeys) {
            const auto *owner = next.workspaceOfKey(key);
            withdrawn += owner == nullptr ? 1 : 0;
            moved += owner != nullptr && *owner != workspace.workspace ? 1 : 0;
        }
        if (withdrawn > 0) {
            warn(findings, "keys_withdrawn", workspace.workspace, std::to_string(withdrawn) + " keys are withdrawn; their requests will be refused");
        }
        if (moved > 0) {
            warn(findings, "keys_moved", workspace.workspace, std::to_string(moved) + " keys will stand for another workspace");
        }
    }
    for (const auto &workspace : next.configuration().workspaces) {
        const auto added = std::count_if(
            workspace.apiKeys.begin(), workspace.apiKeys.end(), [&inForce](const std::string &key) { return inForce.workspaceOfKey(key) == nullptr; });
        if (added > 0) {
            note(findings, "keys_added", workspace.workspace, std::to_string(added) + " keys are added");
        }
    }
}

}

const char *findingSeverityName(FindingSeverity severity)
{
    switch (severity) {
    case FindingSeverity::Note:
        return "note";
    case FindingSeverity::Warning:
        return "warning";
    case FindingSeverity::Error:
        return "error";
    }
    return "unknown";
}

std::vector<Finding> checkConfiguration(const RouteTable &table, std::size_t hostMemoryBytes)
{
    Findings findings;
    checkRoutes(findings, table);
    checkServices(findings, table);
    checkWorkspaces(findings, table);
    checkLimits(findings, table.configuration().limits, hostMemoryBytes);
    return findings;
}

std::vector<Finding> compareConfigurations(const RouteTable &inForce, const RouteTable &next)
{
    Findings findings;
    if (next.version() <= inForce.version()) {
        warn(findings,
             "version_not_newer",
             {},
             "version " + std::to_string(next.version()) + " is not above " + std::to_string(inForce.version()) + " and will be ignored");
    }
    compareRoutes(findings, inForce, next);
    compareServices(findings, inForce, next);
    compareKeys(findings, inForce, next);
    return findings;
}

}
