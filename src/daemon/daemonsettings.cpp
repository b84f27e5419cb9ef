#include "daemon/daemonsettings.h"

#include "base/textfile.h"
#include "config/settingsreader.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Basilbend
{

namespace
{

constexpr double LongestSeconds = 3600;
constexpr double ShortestSeconds = 0.1;
constexpr double MaxWarmupRateFactor = 100;
constexpr double MaxWarmupExtraRequests = 10000;
constexpr std::uint64_t MaxGateways = 100000;

Milliseconds secondsOr(SettingsReader &reader, const std::string &key, Milliseconds fallback)
{
    const double seconds = reader.decimalOr(key, static_cast<double>(fallback.count()) / 1000, ShortestSeconds, LongestSeconds);
    return Milliseconds(std::llround(seconds * 1000));
}

std::string addressText(SettingsReader &reader, const std::string &key)
{
    const auto address = reader.address(key);
    return address.address + ":" + std::to_string(address.port);
}

}

bool isPeer(const DaemonSettings &settings)
{
    return std::find(settings.peers.begin(), settings.peers.end(), settings.internalAddress) != settings.peers.end();
}

std::vector<std::string> otherPeers(const DaemonSettings &settings)
{
    auto peers = settings.peers;
    peers.erase(std::remove(peers.begin(), peers.end(), settings.internalAddress), peers.end());
    return peers;
}

bool operator==(const DaemonSettings &a, const DaemonSettings &b)
{
    const auto tie = [](const DaemonSettings &s) {
        return std::tie(s.role,
                        s.node,
                        s.zone,
                        s.clientListenAddress,
                        s.readinessListenAddress,
                        s.internalAddress,
                        s.peers,
                        s.metricsListenAddress,
                        s.storeAddress,
                        s.reportsAddress,
                        s.configurationBound,
                        s.withdrawalBound,
                        s.endpointLeaveBound,
                        s.evacuationBound,
                        s.regionOfZone,
                        s.warmupTolerance,
                        s.gatewayCount,
                        s.gracePeriod,
                        s.usageWindow,
                        s.usageReportDeadline,
                        s.batchCancelBound,
                        s.leaderTurnTime);
    };
    return tie(a) == tie(b);
}

Result<DaemonSettings> readDaemonSettings(const std::string &fileName, const std::string &role)
{
    const auto text = readTextFile(fileName);
    if (!text) {
        return Error{ResultCode::SettingsInvalid, fileName + ": can't be read"};
    }
    SettingsReader reader(*text, fileName);
    DaemonSettings settings;
    settings.role = reader.oneOf("role", {"gateway", "scheduler"}, role);
    if (!role.empty() && settings.role != role) {
        reader.addFault("role", "must be " + role);
    }
    settings.node = reader.text("node");
    settings.zone = reader.text("zone");
    settings.peers = reader.textsOr("peers", {});
    for (const auto &peer : settings.peers) {
        if (!socketAddressFromText(peer)) {
            reader.addFault("peers", "must be IP addresses with a port");
        }
    }
    settings.metricsListenAddress = addressText(reader, "metrics");
    settings.storeAddress = addressText(reader, "store");
    settings.reportsAddress = addressText(reader, "reports");
    if (settings.role == "gateway") {
        settings.clientListenAddress = addressText(reader, "clients");
        settings.readinessListenAddress = addressText(reader, "readiness");
        settings.internalAddress = addressText(reader, "processes");
    }
    if (settings.role == "scheduler" && reader.has("processes")) {
        settings.internalAddress = addressText(reader, "processes");
    }
    settings.configurationBound = secondsOr(reader, "configuration_seconds", settings.configurationBound);
    settings.withdrawalBound = secondsOr(reader, "withdrawal_seconds", settings.withdrawalBound);
    settings.endpointLeaveBound = secondsOr(reader, "endpoint_leave_seconds", settings.endpointLeaveBound);
    settings.evacuationBound = secondsOr(reader, "evacuation_seconds", settings.evacuationBound);
    settings.regionOfZone = reader.textMapOr("regions", {});
    settings.warmupTolerance.rateFactor = reader.decimalOr("warmup_rate_factor", settings.warmupTolerance.rateFactor, 0, MaxWarmupRateFactor);
    settings.warmupTolerance.extraRequests = reader.decimalOr("warmup_extra_requests", settings.warmupTolerance.extraRequests, 0, MaxWarmupExtraRequests);
    if (settings.role == "gateway") {
        settings.gatewayCount = static_cast<int>(reader.numberOr("gateways", static_cast<std::uint64_t>(settings.gatewayCount), 1, MaxGateways));
    }
    settings.gracePeriod = secondsOr(reader, "grace_seconds", settings.gracePeriod);
    settings.usageWindow = secondsOr(reader, "usage_window_seconds", settings.usageWindow);
    settings.usageReportDeadline = secondsOr(reader, "usage_due_seconds", settings.usageReportDeadline);
    settings.batchCancelBound = secondsOr(reader, "batch_cancel_seconds", settings.batchCancelBound);
    settings.leaderTurnTime = secondsOr(reader, "leader_turn_seconds", settings.leaderTurnTime);
    BOOST_OUTCOME_TRYV(reader.finish());
    return settings;
}

bool isDaemonSettingsFile(const std::string &fileName)
{
    SettingsReader reader(readTextFile(fileName).value_or(std::string()), fileName);
    return reader.has("role") && !reader.oneOf("role", {"gateway", "scheduler"}, {}).empty();
}

}
