#include "app/demo.h"

#include "base/random.h"
#include "base/systemclock.h"
#include "standins/callerload.h"

#include <algorithm>
#include <future>
#include <iomanip>
#include <set>
#include <sstream>
#include <thread>

namespace Basilbend
{

namespace Internal
{

constexpr Milliseconds StartTimeout{20000};
constexpr Milliseconds CallTimeout{30000};
constexpr Milliseconds StepTimeout{60000};
constexpr Milliseconds LoadDuration{8000};
constexpr std::uint64_t Seed = 20;
constexpr std::size_t StepGroups = 16;
constexpr std::uint32_t GroupSamples = 8;

std::string formatFixed(double value, const char *unit)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << value << unit;
    return text.str();
}

/// Plans calls at random times; the workspaces with a share above 1 make most of them.
std::vector<PlannedCall> padanaCalls(const std::vector<LocalSystem::Workspace> &workspaces)
{
    Random random(Seed);
    std::vector<PlannedCall> calls;
    for (const auto &workspace : workspaces) {
        const std::uint64_t count = workspace.share > 1 ? 120 : 32;
        for (std::uint64_t n = 0; n < count; ++n) {
            const Milliseconds at(random.below(LoadDuration.count()));
            const auto id = workspace.name + "-" + std::to_string(n);
            if (n % 4 == 0) {
                calls.push_back({at, workspace.name, "sportello", "", id, "pane report", 0});
            } else {
                calls.push_back({at, workspace.name, "", "tagliatore", id, workspace.name + "| cutting plan for pane " + std::to_string(n), 200});
            }
        }
    }
    std::sort(calls.begin(), calls.end(), [](const PlannedCall &a, const PlannedCall &b) { return a.at < b.at; });
    return calls;
}

}

Demo::Demo(std::ostream &out)
    : m_out(out)
{
}

void Demo::runPadana()
{
    LocalSystem system;
    const std::vector<LocalSystem::Workspace> workspaces{{"vetreria-mn", 3}, {"vetreria-cr", 3}, {"specchi", 1}, {"finestre", 1}, {"serre", 1}};
    system.configure(workspaces, {"tagliatore"}, {"sportello"});
    system.addEntry("entry-1", "padana-mn");
    system.addEntry("entry-2", "padana-cr");
    for (const auto *zone : {"padana-mn", "padana-cr"}) {
        system.addEngine(std::string("tagliatore-1.") + zone, zone, "tagliatore", nlohmann::json::object());
        system.addEngine(std::string("tagliatore-2.") + zone, zone, "tagliatore", nlohmann::json::object());
        system.addService(std::string("sportello.") + zone, zone, "sportello");
    }
    expectZero("Padana: processes that did not start", system.start(Internal::StartTimeout) ? 0 : 1);
    const auto calls = Internal::padanaCalls(workspaces);
    m_out << "Padana: 2 entries, 4 model engines, 2 plain services, " << calls.size() << " calls in " << Internal::LoadDuration.count() / 1000 << " s"
          << std::endl;
    // Two reports run and their answers are lost; two are cut off before they run.
    system.endpoints()[2].standIn->setFaults({{"fail_after", 2}, {"fail_before", 2}});
    CallerLoad load(system.client(), system.entryUrls(), system.keys());
    load.run(calls, Internal::CallTimeout);

    std::uint64_t wrongAnswers = 0;
    std::uint64_t failedCompletions = 0;
    double lowestServedShare = 1;
    std::string worstServedWorkspace = "none";
    for (const auto &[workspace, report] : load.reports()) {
        wrongAnswers += report.wrong;
        const auto served = static_cast<double>(report.servedTokens) / static_cast<double>(std::max<std::uint64_t>(1, report.demandedTokens));
        failedCompletions += report.demandedTokens - report.servedTokens;
        m_out << "  " << workspace << ": " << report.answered << " of " << report.calls << " answered, " << report.servedTokens << " tokens" << std::endl;
        if (served <= lowestServedShare) {
            lowestServedShare = served;
            worstServedWorkspace = workspace;
        }
    }
    std::uint64_t repeated = 0;
    for (const auto &[id, runs] : system.executions()) {
        repeated += runs - 1;
    }
    std::uint64_t produced = 0;
    for (const auto &[workspace, tokens] : system.producedTokens()) {
        produced += tokens;
    }
    addMeasure("worst-served workspace (tokens served / demanded)", Internal::formatFixed(lowestServedShare * 100, " % ") + worstServedWorkspace);
    addMeasure(
        "endpoint spend, Padana (engine seconds per 1000 tokens)",
        Internal::formatFixed(4.0 * static_cast<double>(Internal::LoadDuration.count()) / static_cast<double>(std::max<std::uint64_t>(1, produced)), " s"));
    expectZero("Padana: answers that are not whole or not the caller's own", wrongAnswers);
    expectZero("Padana: non-repeatable calls that ran again", repeated);
    expectZero("Padana: demanded tokens not served", failedCompletions);
    compareUsage("Padana", system);
}

void Demo::runBengal()
{
    LocalSystem system;
    system.configure({{"arm-crew", 1}}, {"policy-lm"}, {});
    system.addEntry("entry-1", "malda-a");
    system.addEntry("entry-2", "murshidabad-b");
    system.addEntry("entry-3", "malda-a");
    for (const auto *zone : {"malda-a", "murshidabad-b"}) {
        system.addEngine(std::string("policy-lm-1.") + zone, zone, "policy-lm", nlohmann::json::object());
        system.addEngine(std::string("policy-lm-2.") + zone, zone, "policy-lm", nlohmann::json::object());
    }
    expectZero("Bengal: processes that did not start", system.start(Internal::StartTimeout) ? 0 : 1);
    runTrainingSteps(system);
    compareUsage("Bengal", system);
}

void Demo::runTrainingSteps(LocalSystem &system)
{
    TrainerSettings settings;
    settings.entries = system.entryUrls();
    settings.key = system.keys().at("arm-crew");
    settings.workPerSample = Milliseconds(2);
    Trainer trainer(system.client(), settings, systemNow);
    std::vector<TrainerReport> reports;
    std::future<bool> publication;
    for (int number = 1; number <= 3; ++number) {
        Step step;
        step.model = "policy-lm";
        step.maxTokens = 300;
        for (std::size_t n = 0; n < Internal::StepGroups; ++n) {
            step.groups.push_back({"arm-crew| step " + std::to_string(number) + " task " + std::to_string(n), Internal::GroupSamples});
        }
        const auto report = trainer.runStep(step, Internal::StepTimeout, [&](std::uint64_t delivered) {
            if (number == 2 && delivered > 0 && !publication.valid()) {
                trainer.setPublished(2);
                publication = std::async(std::launch::async, [&system] { return system.publishWeights("policy-lm", 2, Internal::StepTimeout); });
            }
        });
        if (!report) {
            m_out << "Bengal: step " << number << ": " << report.error().message << std::endl;
            expectZero("Bengal: steps that could not be opened", 1);
            continue;
        }
        reports.push_back(report.value());
        m_out << "Bengal: step " << number << ": " << reports.back().delivered << " of " << reports.back().samples << " samples, " << reports.back().tokens
              << " tokens in " << reports.back().duration.count() << " ms" << std::endl;
    }
    expectZero("Bengal: engines without the new weights", publication.valid() && publication.get() ? 0 : 1);
    summariseSteps(reports);
}

void Demo::summariseSteps(const std::vector<TrainerReport> &reports)
{
    TrainerReport sum;
    for (const auto &report : reports) {
        sum.lost += report.lost;
        sum.duplicates += report.duplicates + report.unknown;
        sum.stale += report.stale;
        sum.wrongTexts += report.wrongTexts;
        sum.wrongVersions += report.wrongVersions;
        sum.tokens += report.tokens;
        sum.idle += report.idle;
        sum.duration += report.duration;
        for (const auto &[versions, samples] : report.staleness) {
            sum.staleness[versions] += samples;
        }
    }
    std::ostringstream staleness;
    for (const auto &[versions, samples] : sum.staleness) {
        staleness << samples << " samples " << versions << " behind  ";
    }
    const auto duration = static_cast<double>(std::max<std::int64_t>(1, sum.duration.count()));
    addMeasure("trainer idle time (waiting / duration of the steps)", Internal::formatFixed(100.0 * static_cast<double>(sum.idle.count()) / duration, " %"));
    addMeasure("staleness in versions (bound 0)", staleness.str());
    addMeasure("endpoint spend, Bengal (engine seconds per 1000 delivered tokens)",
               Internal::formatFixed(4.0 * duration / static_cast<double>(std::max<std::uint64_t>(1, sum.tokens)), " s"));
    expectZero("Bengal: lost samples", sum.lost);
    expectZero("Bengal: duplicate samples", sum.duplicates);
    expectZero("Bengal: stale samples", sum.stale);
    expectZero("Bengal: samples with another text than the engines give", sum.wrongTexts);
    expectZero("Bengal: samples with impossible versions", sum.wrongVersions);
}

bool Demo::printSummary()
{
    constexpr int NameWidth = 72;
    m_out << "\nMeasured\n" << std::left;
    for (const auto &[name, value] : m_measures) {
        m_out << "  " << std::setw(NameWidth) << name << value << "\n";
    }
    m_out << "\nChecks (each must be 0)\n";
    bool allHold = true;
    for (const auto &[name, value] : m_checks) {
        allHold = allHold && value == 0;
        m_out << "  " << std::setw(NameWidth) << name << value << (value == 0 ? "" : "  FAILED") << "\n";
    }
    m_out << "\nNot part of this run: sealed usage windows and their reports, endpoint orders, the configuration log.\n";
    m_out << (allHold ? "all checks hold" : "a check failed") << std::endl;
    return allHold;
}

void Demo::addMeasure(const std::string &name, const std::string &value)
{
    m_measures.emplace_back(name, value);
}

void Demo::expectZero(const std::string &name, std::uint64_t value)
{
    m_checks.emplace_back(name, value);
}

void Demo::compareUsage(const std::string &name, LocalSystem &system)
{
    // The tokens of a cancelled attempt are counted shortly after its caller has left.
    constexpr int Tries = 100;
    constexpr Milliseconds Pause{20};
    std::uint64_t difference = 0;
    for (int n = 0; n < Tries; ++n) {
        difference = 0;
        auto counted = system.countedTokens();
        const auto produced = system.producedTokens();
        for (const auto &[workspace, tokens] : produced) {
            difference += std::max(tokens, counted[workspace]) - std::min(tokens, counted[workspace]);
        }
        if (difference == 0) {
            break;
        }
        std::this_thread::sleep_for(Pause);
    }
    expectZero(name + ": usage difference in tokens (sidecars' counts and engines' own)", difference);
}

}
