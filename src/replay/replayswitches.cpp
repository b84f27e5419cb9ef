#include "replay/replayswitches.h"

#include <utility>

namespace Basilbend
{

ReplaySwitches boundRun()
{
    ReplaySwitches run;
    run.name = "lengths known (bound)";
    run.knownLengths = true;
    return run;
}

std::vector<ReplaySwitches> baselineRuns()
{
    ReplaySwitches plain;
    for (auto *decision : {&plain.fairQueue,
                           &plain.preemption,
                           &plain.refuseEarly,
                           &plain.ownCounts,
                           &plain.zonePreference,
                           &plain.prefixAffinity,
                           &plain.outliers,
                           &plain.slowStart,
                           &plain.preferUpdated,
                           &plain.lateBinding,
                           &plain.longestFirst,
                           &plain.secondCopies,
                           &plain.resume,
                           &plain.stopStale}) {
        *decision = false;
    }
    auto roundRobin = plain;
    roundRobin.name = "first in first out, round robin";
    roundRobin.routing = ReplaySwitches::Routing::RoundRobin;
    auto leastLoaded = plain;
    leastLoaded.name = "first in first out, least loaded";
    leastLoaded.routing = ReplaySwitches::Routing::LeastLoaded;
    return {roundRobin, leastLoaded};
}

std::vector<ReplaySwitches> comparisonRuns()
{
    auto runs = baselineRuns();
    runs.insert(runs.begin(), boundRun());
    const std::pair<const char *, bool ReplaySwitches::*> decisions[] = {
        {"fair queue off", &ReplaySwitches::fairQueue},
        {"preemption off", &ReplaySwitches::preemption},
        {"early refusal off", &ReplaySwitches::refuseEarly},
        {"own counts off", &ReplaySwitches::ownCounts},
        {"zone preference off", &ReplaySwitches::zonePreference},
        {"prefix affinity off", &ReplaySwitches::prefixAffinity},
        {"outlier detection off", &ReplaySwitches::outliers},
        {"slow start off", &ReplaySwitches::slowStart},
        {"updated endpoints first off", &ReplaySwitches::preferUpdated},
        {"late binding off", &ReplaySwitches::lateBinding},
        {"longest first off", &ReplaySwitches::longestFirst},
        {"second copies off", &ReplaySwitches::secondCopies},
        {"resuming off", &ReplaySwitches::resume},
        {"stopping stale work off", &ReplaySwitches::stopStale},
    };
    for (const auto &[name, decision] : decisions) {
        ReplaySwitches run;
        run.name = name;
        run.*decision = false;
        runs.push_back(run);
    }
    return runs;
}

}
