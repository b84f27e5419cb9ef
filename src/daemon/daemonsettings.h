#pragma once

#include "base/result.h"

#include "forwarding/requestlimiter.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// Settings of a gateway or a scheduler. Addresses have the form "IP:PORT".
struct DaemonSettings {
    std::string role;
    std::string node;
    std::string zone;
    /// Gateways only: listening address for clients.
    std::string clientListenAddress;
    /// Gateways only: listening address for the platform's readiness checks.
    std::string readinessListenAddress;
    /// Listening address for other processes of the system; clients must not be able to reach it. Optional for schedulers: without
    /// it gateways read results from the store.
    std::string internalAddress;
    /// Addresses of the processes that may relay calls to the store; the own address may be among them.
    std::vector<std::string> peers;
    /// Listening address for metrics.
    std::string metricsListenAddress;
    /// Address of the platform's metadata store.
    std::string storeAddress;
    /// Address of the platform's API for usage reports.
    std::string reportsAddress;
    /// Longest time from the acknowledgement of a configuration to the first request that must be handled by it.
    Milliseconds configurationBound{2000};
    /// Longest time for which a withdrawn key may still be accepted.
    Milliseconds withdrawalBound{5000};
    /// Longest time for which a leaving endpoint may still get requests after its registry entry says so.
    Milliseconds endpointLeaveBound{2000};
    /// Longest time for which endpoints of an availability zone may still get requests after the operator has asked for its evacuation.
    Milliseconds evacuationBound{5000};
    /// Region of each availability zone, by the name of the zone.
    std::map<std::string, std::string> regionOfZone;
    WarmupTolerance warmupTolerance;
    /// Gateways only: number of gateways, each of which may send live requests to the same endpoint while it warms up.
    int gatewayCount = 16;
    /// Longest time from SIGTERM to the end of the process.
    Milliseconds gracePeriod{8000};
    Milliseconds usageWindow{5000};
    Milliseconds usageReportDeadline{10000};
    /// Longest time for which requests of a batch may still reach endpoints after its client has ended it.
    Milliseconds batchCancelBound{3000};
    /// Shortest time within which an endpoint may not get orders of two leaders alternately.
    Milliseconds leaderTurnTime{3000};
};

/// Whether this process is among the peers, so that others may ask it to relay calls to the store.
bool isPeer(const DaemonSettings &settings);

/// Returns the peers except this process.
std::vector<std::string> otherPeers(const DaemonSettings &settings);

bool operator==(const DaemonSettings &a, const DaemonSettings &b);

/// Reads and checks a settings file for the given role, "gateway" or "scheduler"; an empty role accepts either. Fails with
/// SettingsInvalid and one line for each fault, with file, line, key, and the allowed values.
Result<DaemonSettings> readDaemonSettings(const std::string &fileName, const std::string &role);

/// Whether the role in the file is that of a gateway or a scheduler.
bool isDaemonSettingsFile(const std::string &fileName);

}
