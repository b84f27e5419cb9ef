#include "entry/entrysettingsreader.h"

#include "config/settingsreader.h"

namespace Basilbend
{

namespace Internal
{

constexpr Milliseconds Second{1000};
constexpr Milliseconds Hour{3'600'000};
constexpr std::uint64_t Kilobyte = 1024;
constexpr std::uint64_t Megabyte = Kilobyte * 1024;

void readLimits(SettingsReader &reader, EntrySettings &settings)
{
    auto &limits = settings.limits;
    limits.maxHeaderBytes = reader.bytesOr("limits.max_headers", limits.maxHeaderBytes, Kilobyte, Megabyte);
    limits.maxBodyBytes = reader.bytesOr("limits.max_body", limits.maxBodyBytes, Kilobyte, 64 * Megabyte);
    limits.headTimeout = reader.durationOr("limits.head_timeout", limits.headTimeout, Second, Hour);
    limits.maxConnections = reader.numberOr("limits.max_connections", limits.maxConnections, 1, 100'000);
    settings.maxPendingBytes = reader.bytesOr("limits.max_pending", settings.maxPendingBytes, 64 * Kilobyte, 64 * Megabyte);
    settings.overload.inFlightBound = reader.numberOr("limits.max_requests", settings.overload.inFlightBound, 1, 1'000'000);
}

void readRequests(SettingsReader &reader, EntrySettings &settings)
{
    settings.defaultDeadline = reader.durationOr("requests.default_deadline", settings.defaultDeadline, Second, 24 * Hour);
    settings.longestDeadline = reader.durationOr("requests.longest_deadline", settings.longestDeadline, Second, 24 * Hour);
    settings.endpointWait = reader.durationOr("requests.endpoint_wait", settings.endpointWait, Milliseconds(0), Hour);
    settings.defaultMaxTokens = reader.numberOr("requests.default_max_tokens", settings.defaultMaxTokens, 1, 10'000'000);
    settings.keepAlivePeriod = reader.durationOr("requests.keep_alive", settings.keepAlivePeriod, Milliseconds(100), Hour);
    settings.silenceTimeout = reader.durationOr("requests.silence_timeout", settings.silenceTimeout, Milliseconds(500), Hour);
    if (settings.defaultDeadline > settings.longestDeadline) {
        reader.addFault("requests.default_deadline", "must not be above requests.longest_deadline");
    }
}

void readRouting(SettingsReader &reader, EntrySettings &settings)
{
    auto &router = settings.router;
    router.spillLoad = reader.decimalOr("routing.spill_load", router.spillLoad, 0.1, 1.0);
    router.boundedLoad = reader.decimalOr("routing.bounded_load", router.boundedLoad, 1.0, 10.0);
    router.slowStart = reader.durationOr("routing.slow_start", router.slowStart, Milliseconds(0), Hour);
    settings.forgetEndpointAfter = reader.durationOr("routing.forget_endpoint_after", settings.forgetEndpointAfter, Second, Hour);
}

}

EntrySettings readEntrySettings(SettingsReader &reader)
{
    EntrySettings settings;
    settings.node = reader.text("node");
    settings.zone = reader.text("zone");
    settings.region = reader.text("region");
    const auto callers = reader.address("callers");
    settings.address = callers.address;
    settings.port = callers.port;
    const auto processes = reader.address("processes");
    settings.internalAddress = processes.address;
    settings.internalPort = processes.port;
    settings.serverThreads = reader.numberOr("threads", settings.serverThreads, 1, 64);
    Internal::readLimits(reader, settings);
    Internal::readRequests(reader, settings);
    Internal::readRouting(reader, settings);
    return settings;
}

}
