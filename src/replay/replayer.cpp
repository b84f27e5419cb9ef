#include "replay/replayer.h"

#include "replay/replayrun.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <future>

namespace Basilbend
{

namespace Internal
{

constexpr std::size_t Bound = 1;
constexpr std::size_t FirstBaseline = 2;
constexpr std::size_t LastBaseline = 3;

/// Runs of one comparison that go on at once; each has its own state.
constexpr std::size_t ParallelRuns = 3;

static std::string fixed(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", value);
    return text;
}

static double percent(double part, double whole)
{
    return whole <= 0 ? (part <= 0 ? 100 : 1e9) : 100 * part / whole;
}

/// Keeps this many of every six requests.
static Trace thinned(const Trace &trace, std::size_t retained)
{
    auto thinner = trace;
    thinner.requests.clear();
    for (std::size_t i = 0; i < trace.requests.size(); ++i) {
        if (i % 6 < retained) {
            thinner.requests.push_back(trace.requests[i]);
        }
    }
    return thinner;
}

class Judge
{
public:
    void atLeast(const char *measure, const std::optional<std::uint64_t> &stated, double measured, const char *unit)
    {
        if (stated) {
            m_verdicts.push_back({measure, "at least " + std::to_string(*stated) + unit, fixed(measured) + unit, measured >= static_cast<double>(*stated)});
        }
    }
    void atMost(const char *measure, const std::optional<std::uint64_t> &stated, double measured, const char *unit)
    {
        if (stated) {
            m_verdicts.push_back({measure, "at most " + std::to_string(*stated) + unit, fixed(measured) + unit, measured <= static_cast<double>(*stated)});
        }
    }
    std::vector<Verdict> take()
    {
        return std::move(m_verdicts);
    }

private:
    std::vector<Verdict> m_verdicts;
};

}

bool ReplayReport::allMet() const
{
    return std::all_of(verdicts.begin(), verdicts.end(), [](const Verdict &verdict) { return verdict.met; });
}

ReplayReport Replayer::compare(const Trace &trace, const StatedOutcomes &outcomes, bool decisions)
{
    std::vector<ReplaySwitches> switches = comparisonRuns();
    switches.insert(switches.begin(), ReplaySwitches{});
    if (!decisions) {
        switches.resize(Internal::LastBaseline + 1);
    }
    ReplayReport report;
    report.trace = trace.name;
    for (std::size_t first = 0; first < switches.size(); first += Internal::ParallelRuns) {
        std::vector<std::future<ReplayResult>> running;
        for (auto i = first; i < std::min(switches.size(), first + Internal::ParallelRuns); ++i) {
            running.push_back(std::async(std::launch::async, [&trace, &switches, i] { return run(trace, switches[i]); }));
        }
        for (auto &result : running) {
            report.runs.push_back(result.get());
        }
    }
    report.verdicts = judge(trace, outcomes, report.runs);
    return report;
}

ReplayResult Replayer::run(const Trace &trace, const ReplaySwitches &switches)
{
    return ReplayRun(trace, switches).run();
}

double Replayer::peakGoodput(const Trace &trace)
{
    double best = 0;
    for (std::size_t retained = 1; retained <= 6; ++retained) {
        best = std::max(best, run(Internal::thinned(trace, retained), ReplaySwitches{}).goodput);
    }
    return best;
}

std::vector<Verdict> Replayer::judge(const Trace &trace, const StatedOutcomes &outcomes, const std::vector<ReplayResult> &runs)
{
    const auto &own = runs.front();
    const auto &bound = runs[Internal::Bound];
    const auto bestIdle = std::min(runs[Internal::FirstBaseline].idleSeconds, runs[Internal::LastBaseline].idleSeconds);
    Internal::Judge judge;
    judge.atLeast("worst-served workspace, of min(demand, promise) in 10 s", outcomes.worstWindowPercent, 100 * own.worstWindow, "%");
    judge.atMost("step time, of the bound", outcomes.stepTimePercent, Internal::percent(own.stepSeconds, bound.stepSeconds), "%");
    judge.atMost("trainer idle time, of the better baseline", outcomes.idlePercent, Internal::percent(own.idleSeconds, bestIdle), "%");
    judge.atMost("samples discarded as stale", outcomes.staleDiscarded, static_cast<double>(own.staleDiscarded), "");
    judge.atMost("endpoint spend per token, of the bound", outcomes.spendPercent, Internal::percent(own.spendPerMillion, bound.spendPerMillion), "%");
    if (outcomes.goodputPercent) {
        judge.atLeast("goodput, of its peak", outcomes.goodputPercent, Internal::percent(own.goodput, peakGoodput(trace)), "%");
    }
    judge.atMost("tokens billed wrongly", outcomes.usageWrong, static_cast<double>(own.usageWrong + own.answersMissing), "");
    judge.atMost("final answer after giving up", outcomes.finalAnswerMs, static_cast<double>(own.finalAnswerMs), " ms");
    return judge.take();
}

}
