#pragma once

#include "replay/replayresult.h"
#include "replay/replayswitches.h"
#include "replay/statedoutcomes.h"
#include "replay/trace.h"

#include <string>
#include <vector>

namespace Basilbend
{

/// One stated outcome against what was measured.
struct Verdict {
    std::string measure;
    std::string stated;
    std::string measured;
    bool met = false;
};

/// All runs of one trace; the service's own run comes first, then the bound, then the baselines.
struct ReplayReport {
    std::string trace;
    std::vector<ReplayResult> runs;
    std::vector<Verdict> verdicts;

    bool allMet() const;
};

/// Replays a trace and judges it against its stated outcomes.
class Replayer
{
public:
    /// With decisions, each decision is also switched off in a run of its own.
    static ReplayReport compare(const Trace &trace, const StatedOutcomes &outcomes, bool decisions);

    /// One run.
    static ReplayResult run(const Trace &trace, const ReplaySwitches &switches);

    /// The best goodput over several parts of the load, in tokens per second.
    static double peakGoodput(const Trace &trace);

private:
    static std::vector<Verdict> judge(const Trace &trace, const StatedOutcomes &outcomes, const std::vector<ReplayResult> &runs);
};

}
