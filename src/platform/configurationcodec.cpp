#include "platform/configurationcodec.h"

#include "http/socketoptions.h"
#include "platform/jsonfields.h"
#include "platform/wirenames.h"

#include <asio/system_error.hpp>
#include <cmath>
#include <stdexcept>

namespace Basilbend
{

namespace
{

using nlohmann::json;

/// Limits of what an entry may say; more can't be true and would overflow in calculations.
constexpr std::uint64_t MaxSlots = 1'000'000;
constexpr Milliseconds MaxWarmup{24 * 3600 * 1000};
constexpr std::uint64_t MaxUnixMs = 1ULL << 53U;
/// Part of a text from another writer that an error message quotes.
constexpr std::size_t MaxQuotedBytes = 40;

Milliseconds secondsField(const json &object, const char *name)
{
    return Milliseconds(static_cast<std::int64_t>(std::llround(1000 * Wire::numberOr(object, name, 0))));
}

/// Bounds may contain fractions of a millisecond, so the field is read as a floating-point number and rounded.
Milliseconds millisecondsOr(const json &object, const char *name, Milliseconds fallback)
{
    return Milliseconds(std::llround(Wire::numberOr(object, name, static_cast<double>(fallback.count()))));
}

RouteKind decodeKind(const std::string &text)
{
    if (text == "idempotent") {
        return RouteKind::Idempotent;
    }
    if (text == "non_idempotent") {
        return RouteKind::NonIdempotent;
    }
    if (text == "streaming") {
        return RouteKind::Streaming;
    }
    if (text == "rollout") {
        return RouteKind::Batch;
    }
    throw Wire::FieldError{"kind is unknown: " + text};
}

std::vector<std::string> decodeRegions(const json &object)
{
    std::vector<std::string> regions;
    for (const auto &region : Wire::arrayOrEmpty(object, "allowed_regions")) {
        if (!region.is_string()) {
            throw Wire::FieldError{"allowed_regions must hold strings"};
        }
        regions.push_back(region.get<std::string>());
    }
    return regions;
}

std::vector<TrafficShare> decodeShares(const json &route)
{
    std::vector<TrafficShare> shares;
    for (const auto &share : Wire::arrayOrEmpty(route, "traffic_split")) {
        shares.push_back({Wire::requiredString(share, "service"), static_cast<int>(Wire::unsignedOr(share, "weight", 1))});
    }
    if (shares.empty()) {
        shares.push_back({Wire::requiredString(route, "service"), 1});
    }
    return shares;
}

RouteRule decodeRoute(const json &route)
{
    RouteRule rule;
    rule.name = Wire::requiredString(route, "name");
    rule.host = Wire::requiredString(route, "host");
    rule.pathPrefix = Wire::requiredString(route, "path_prefix");
    rule.kind = decodeKind(Wire::requiredString(route, "kind"));
    rule.timeout = millisecondsOr(route, "timeout_ms", rule.timeout);
    rule.latencyTarget = millisecondsOr(route, "target_latency_ms", rule.latencyTarget);
    rule.priority = static_cast<int>(Wire::unsignedOr(route, "priority", 0));
    rule.attempts = static_cast<int>(std::max<std::uint64_t>(1, Wire::unsignedOr(route, "attempts", 1)));
    rule.isPublic = Wire::boolOr(route, "public", false);
    rule.canResume = Wire::boolOr(route, "resumable", false);
    rule.singleVersion = Wire::boolOr(route, "single_version", false);
    rule.retention = secondsField(route, "retention_s");
    rule.resultDeadline = millisecondsOr(route, "result_deadline_ms", Milliseconds(0));
    rule.shares = decodeShares(route);
    rule.allowedRegions = decodeRegions(route);
    return rule;
}

ServiceSpec decodeService(const json &service)
{
    ServiceSpec spec;
    spec.name = Wire::requiredString(service, "name");
    spec.healthPath = Wire::stringOr(service, "health_path", {});
    spec.warmupRequestsPerSecond = std::max(0.0, Wire::numberOr(service, "cold_per_s", 0));
    const auto engine = service.find("engine");
    if (engine != service.end() && engine->is_object()) {
        EngineSpec engineSpec;
        engineSpec.slots = static_cast<int>(Wire::unsignedOr(*engine, "slots", 1));
        engineSpec.kvCacheTokens = Wire::unsignedOr(*engine, "kv_cache_tokens", 0);
        for (const auto &model : Wire::arrayOrEmpty(*engine, "models")) {
            engineSpec.models.push_back(Wire::requiredString(model, "name"));
        }
        spec.engine = engineSpec;
    }
    return spec;
}

ClientLimits decodeLimits(const json &configuration)
{
    ClientLimits limits;
    const auto it = configuration.find("limits");
    if (it != configuration.end() && it->is_object()) {
        limits.maxHeadBytes = Wire::unsignedOr(*it, "max_header_bytes", limits.maxHeadBytes);
        limits.maxBodyBytes = Wire::unsignedOr(*it, "max_body_bytes", limits.maxBodyBytes);
        limits.headTimeout = millisecondsOr(*it, "header_timeout_ms", limits.headTimeout);
        limits.idleTimeout = millisecondsOr(*it, "idle_timeout_ms", limits.idleTimeout);
    }
    return limits;
}

WorkspaceKeys decodeWorkspace(const json &tenant)
{
    WorkspaceKeys keys;
    keys.workspace = Wire::requiredString(tenant, "name");
    for (const auto &key : Wire::arrayOrEmpty(tenant, "api_keys")) {
        if (key.is_string()) {
            keys.apiKeys.push_back(key.get<std::string>());
        }
    }
    keys.allowedRegions = decodeRegions(tenant);
    return keys;
}

ServiceConfiguration decodeConfigurationObject(const json &object)
{
    ServiceConfiguration configuration;
    configuration.version = Wire::requiredUnsigned(object, "version");
    for (const auto &route : Wire::requiredArray(object, "routes")) {
        configuration.routes.push_back(decodeRoute(route));
    }
    for (const auto &service : Wire::requiredArray(object, "services")) {
        configuration.services.push_back(decodeService(service));
    }
    for (const auto &tenant : Wire::arrayOrEmpty(object, "tenants")) {
        configuration.workspaces.push_back(decodeWorkspace(tenant));
    }
    configuration.limits = decodeLimits(object);
    return configuration;
}

PublishedVersion decodePublishedVersionObject(const json &object)
{
    return {Wire::requiredString(object, "model"), Wire::requiredUnsigned(object, "version")};
}

std::uint64_t requireBelow(std::uint64_t value, std::uint64_t limit, const char *name)
{
    if (value > limit) {
        throw Wire::FieldError{std::string(name) + " is too large"};
    }
    return value;
}

/// Compares before the conversion, which has no defined result for a number out of range.
Milliseconds decodeWarmup(const json &object)
{
    const auto ms = Wire::numberOr(object, "cold_remaining_ms", 0);
    if (!(ms >= 0 && ms <= static_cast<double>(MaxWarmup.count()))) {
        throw Wire::FieldError{"cold_remaining_ms is out of range"};
    }
    return Milliseconds(std::llround(ms));
}

void requireAddress(const std::string &text)
{
    try {
        if (parseSocketEndpoint(text).port() == 0) {
            throw Wire::FieldError{"address has no valid port"};
        }
    } catch (const asio::system_error &) {
        throw Wire::FieldError{"address is not an IP address"};
    } catch (const std::logic_error &) {
        throw Wire::FieldError{"address has no valid port"};
    }
}

std::vector<ServedModel> decodeModels(const json &object)
{
    std::vector<ServedModel> models;
    for (const auto &model : Wire::arrayOrEmpty(object, "models")) {
        models.push_back({Wire::requiredString(model, "name"), Wire::requiredUnsigned(model, "version")});
    }
    return models;
}

EndpointRecord decodeEndpointObject(const json &object)
{
    EndpointRecord record;
    record.service = Wire::requiredString(object, "service");
    record.address = Wire::requiredString(object, "address");
    requireAddress(record.address);
    record.zone = Wire::requiredString(object, "zone");
    record.softwareVersion = Wire::stringOr(object, "version", {});
    record.slots = static_cast<int>(requireBelow(Wire::requiredUnsigned(object, "slots"), MaxSlots, "slots"));
    if (record.slots == 0) {
        throw Wire::FieldError{"slots must be at least 1"};
    }
    const auto state = Wire::requiredString(object, "state");
    if (state != "ready" && state != "draining") {
        throw Wire::FieldError{"state is unknown: " + state.substr(0, MaxQuotedBytes)};
    }
    record.isDraining = state == "draining";
    record.warmupRemaining = decodeWarmup(object);
    record.startedAtMs = static_cast<std::int64_t>(requireBelow(Wire::unsignedOr(object, "born", 0), MaxUnixMs, "born"));
    record.models = decodeModels(object);
    return record;
}

}

Result<ServiceConfiguration> decodeConfiguration(std::string_view text)
{
    return Wire::decodeObject(text, decodeConfigurationObject);
}

Result<PublishedVersion> decodePublishedVersion(std::string_view text)
{
    return Wire::decodeObject(text, decodePublishedVersionObject);
}

Result<EndpointRecord> decodeEndpointRecord(std::string_view key, std::string_view text)
{
    auto record = Wire::decodeObject(text, decodeEndpointObject);
    if (record) {
        record.value().id = endpointIdOfKey(key);
    }
    return record;
}

std::string endpointIdOfKey(std::string_view key)
{
    return std::string(key.substr(std::string_view(Wire::EndpointPrefix).size()));
}

std::string encodeRetireStatus(bool completed)
{
    return json{{"state", completed ? "completed" : "running"}}.dump();
}

}
