#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Basilbend
{

/// Settings of a process on the platform. Addresses are "IP:PORT".
struct DaemonSettings {
    std::string role;
    std::string node;
    std::string zone;
    /// Gateways: where clients and the platform's readiness checks come in.
    std::string clients;
    std::string readiness;
    /// Where other processes of the system come in. Not to be reachable for clients. Schedulers may do without: gateways then read
    /// results from the store.
    std::string processes;
    /// Processes that may relay calls to the store; the own address does not matter.
    std::vector<std::string> peers;
    /// Metrics and status of the process.
    std::string metrics;
    /// The platform's metadata store and its API for reports.
    std::string store;
    std::string reports;
    /// A withdrawn key must not work longer than this.
    Milliseconds withdrawalBound{5000};
    /// An endpoint that leaves gets no more work this long after its entry says so.
    Milliseconds endpointLeaveBound{2000};
    /// From SIGTERM to the end of the process.
    Milliseconds gracePeriod{8000};
    Milliseconds usageWindow{5000};
    Milliseconds usageDue{10000};
    /// Nothing of a batch reaches an endpoint this long after its client has ended it.
    Milliseconds batchCancelBound{3000};
    /// Receivers of orders must not see two leaders take turns within this time.
    Milliseconds leaderTurnTime{3000};
};

/// Whether other processes may ask this one to relay their calls.
bool isPeer(const DaemonSettings &settings);

/// The peers without this process.
std::vector<std::string> otherPeers(const DaemonSettings &settings);

bool operator==(const DaemonSettings &a, const DaemonSettings &b);

/// Reads and checks a settings file for the given role, "gateway" or "scheduler"; an empty role accepts either. Fails with
/// SettingsInvalid and one line for each fault: file, line, key, and what is allowed.
Result<DaemonSettings> readDaemonSettings(const std::string &fileName, const std::string &role);

/// Whether a file is meant for a gateway or a scheduler, by its role.
bool isDaemonSettingsFile(const std::string &fileName);

}
