#pragma once

#include <string>
#include <vector>

namespace Basilbend
{

/// Which decisions a run of the replay makes. All on is what the service does; the rest is for comparison.
struct ReplaySwitches {
    enum class Routing {
        Router,
        RoundRobin,
        LeastLoaded,
    };

    std::string name = "basilbend";
    Routing routing = Routing::Router;
    bool fairQueue = true;
    bool preemption = true;
    bool refuseEarly = true;
    bool ownCounts = true;
    bool zonePreference = true;
    bool prefixAffinity = true;
    bool outliers = true;
    bool slowStart = true;
    bool preferUpdated = true;
    bool lateBinding = true;
    bool longestFirst = true;
    bool secondCopies = true;
    bool resume = true;
    bool stopStale = true;

    /// The bound: lengths are known beforehand.
    bool knownLengths = false;
};

/// The bound, the two baselines, and one run per decision with that decision off.
std::vector<ReplaySwitches> comparisonRuns();
ReplaySwitches boundRun();
std::vector<ReplaySwitches> baselineRuns();

}
