#include "replay/replaytext.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace Internal
{

static std::string runsTable(const std::vector<ReplayResult> &runs)
{
    std::string text = "| run | idle s | step s | stale (stopped) | worst window | windows below 95% | spend s per M tokens | goodput tok/s | refused | "
                       "usage wrong | final answer ms |\n|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto &run : runs) {
        text += fmt::format("| {} | {:.1f} | {:.1f} | {} ({}) | {:.1f}% | {} of {} | {:.0f} | {:.0f} | {} | {} | {} |\n",
                            run.run,
                            run.idleSeconds,
                            run.stepSeconds,
                            run.staleDiscarded,
                            run.staleStopped,
                            100 * run.worstWindow,
                            run.windowsBelow,
                            run.windows,
                            run.spendPerMillion,
                            run.goodput,
                            run.refused,
                            run.usageWrong,
                            run.finalAnswerMs);
    }
    return text;
}

static std::string verdictTable(const std::vector<Verdict> &verdicts)
{
    std::string text = "| outcome | stated | measured | verdict |\n|---|---|---|---|\n";
    for (const auto &verdict : verdicts) {
        text += fmt::format("| {} | {} | {} | {} |\n", verdict.measure, verdict.stated, verdict.measured, verdict.met ? "met" : "**not met**");
    }
    return text;
}

}

std::string replayText(const ReplayReport &report)
{
    const auto &own = report.runs.front();
    auto text = fmt::format("trace {}\n", report.trace);
    text += fmt::format(
        "trainer idle time: {:.1f} s over {} steps ({} unfinished), mean step {:.1f} s\n", own.idleSeconds, own.steps, own.stepsUnfinished, own.stepSeconds);
    text += fmt::format("staleness: {} samples discarded, {} stopped in time\n", own.staleDiscarded, own.staleStopped);
    text += fmt::format("worst-served workspace: {:.1f}% ({} at {} s), {} of {} windows below 95%\n",
                        100 * own.worstWindow,
                        own.worstWorkspace,
                        own.worstAt.milliseconds() / 1000,
                        own.windowsBelow,
                        own.windows);
    text += fmt::format("endpoint spend: {:.0f} endpoint seconds, {:.0f} per million tokens\n", own.spendSeconds, own.spendPerMillion);
    text += fmt::format("usage: {} tokens wrong, {} requests without exactly one final answer\n", own.usageWrong, own.answersMissing);
    text += fmt::format(
        "delivered {}, refused {}, retries {}, preempted {}, goodput {:.0f} tokens/s\n\n", own.delivered, own.refused, own.retries, own.preempted, own.goodput);
    text += Internal::runsTable(report.runs) + "\n" + Internal::verdictTable(report.verdicts);
    return text + (report.allMet() ? "\nverdict: met\n" : "\nverdict: not met\n");
}

std::string replayJson(const ReplayReport &report)
{
    nlohmann::ordered_json json{{"trace", report.trace}, {"met", report.allMet()}};
    json["verdicts"] = nlohmann::ordered_json::array();
    for (const auto &verdict : report.verdicts) {
        json["verdicts"].push_back({{"outcome", verdict.measure}, {"stated", verdict.stated}, {"measured", verdict.measured}, {"met", verdict.met}});
    }
    json["runs"] = nlohmann::ordered_json::array();
    for (const auto &run : report.runs) {
        nlohmann::ordered_json item{{"run", run.run}, {"idle_seconds", run.idleSeconds}, {"step_seconds", run.stepSeconds}, {"steps", run.steps}};
        item.update({{"steps_unfinished", run.stepsUnfinished}, {"stale_discarded", run.staleDiscarded}, {"stale_stopped", run.staleStopped}});
        item.update({{"worst_window", run.worstWindow}, {"worst_workspace", run.worstWorkspace}, {"worst_at_ms", run.worstAt.milliseconds()}});
        item.update({{"windows", run.windows}, {"windows_below", run.windowsBelow}, {"spend_seconds", run.spendSeconds}});
        item.update({{"spend_per_million", run.spendPerMillion}, {"goodput", run.goodput}, {"usage_wrong", run.usageWrong}});
        item.update({{"delivered", run.delivered}, {"refused", run.refused}, {"retries", run.retries}, {"preempted", run.preempted}});
        item.update({{"final_answer_ms", run.finalAnswerMs}, {"answers_missing", run.answersMissing}});
        item["refused_of"] = run.refusedOf;
        item["below"] = nlohmann::ordered_json::array();
        for (const auto &window : run.below) {
            item["below"].push_back({{"workspace", window.workspace}, {"at_ms", window.start.milliseconds()}, {"due", window.due}, {"served", window.served}});
        }
        json["runs"].push_back(std::move(item));
    }
    return json.dump(2) + "\n";
}

std::string replayPage(const std::vector<ReplayReport> &reports)
{
    std::string text = "# Replay results\n\nMade by `basilbend replay --table traces`. How each figure is measured is in [policy.md](policy.md).\n";
    for (const auto &report : reports) {
        text += fmt::format("\n## {}\n\n", report.trace) + Internal::verdictTable(report.verdicts) + "\n" + Internal::runsTable(report.runs);
    }
    return text;
}

}
