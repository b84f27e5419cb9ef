#include "replay/tracemaker.h"

#include "base/random.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace Basilbend
{

namespace Internal
{

constexpr double PromisedPart = 0.7;
constexpr std::uint64_t PrefixesPerWorkspace = 1000000;
constexpr double TwoPi = 6.283185307179586;

/// The load of a workspace as a part of its promise, over time.
using LoadCurve = std::function<double(double seconds)>;

struct Traffic {
    std::string workspace;
    std::string policy;
    double tokensPerSecond = 0;
    double meanTokens = 150;
    double spread = 0.6;
    std::uint64_t meanPrompt = 300;
    double rolloutPart = 0.3;
    Milliseconds deadline{60000};
    std::uint64_t prefixes = 8;
    std::uint64_t firstPrefix = 0;
};

static double logNormal(Random &random, double mean, double spread)
{
    const auto normal = std::sqrt(-2 * std::log(1 - random.unit())) * std::cos(TwoPi * random.unit());
    return mean * std::exp(spread * normal - spread * spread / 2);
}

static TracePool pool(const std::string &policy, std::map<std::string, std::uint64_t> zones)
{
    TracePool pool;
    pool.policy = policy;
    pool.most = zones;
    pool.ready = std::move(zones);
    pool.startUp = Milliseconds(20000);
    return pool;
}

static double capacity(const TracePool &pool)
{
    double replicas = 0;
    for (const auto &[zone, count] : pool.most) {
        replicas += static_cast<double>(count);
    }
    return replicas * pool.fullRate();
}

static void addWorkspaces(Trace &trace, const std::string &prefix, const std::vector<std::uint64_t> &shares)
{
    double sum = 0;
    for (const auto share : shares) {
        sum += static_cast<double>(share);
    }
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const auto promise = PromisedPart * capacity(trace.pools.front()) * static_cast<double>(shares[i]) / sum;
        trace.workspaces.push_back({prefix + "-" + std::to_string(i), shares[i], static_cast<std::uint64_t>(promise), 0});
    }
}

/// Requests in a Poisson process whose rate follows the curve.
static void addTraffic(Trace &trace, const Traffic &traffic, const LoadCurve &curve, Random &random)
{
    const auto zones = trace.zones();
    const auto end = static_cast<double>(trace.end.milliseconds()) / 1000;
    double at = 0;
    while (true) {
        const auto rate = std::max(1e-6, traffic.tokensPerSecond * curve(at) / traffic.meanTokens);
        at += std::min(5.0, -std::log(1 - random.unit()) / rate);
        if (at >= end) {
            return;
        }
        TraceRequest request;
        request.at = Timestamp(static_cast<std::int64_t>(at * 1000));
        request.workspace = traffic.workspace;
        request.policy = traffic.policy;
        request.zone = zones[random.below(zones.size())];
        request.requestClass = random.unit() < traffic.rolloutPart ? RequestClass::Rollout : RequestClass::Live;
        request.promptTokens = static_cast<std::uint64_t>(std::max(1.0, logNormal(random, static_cast<double>(traffic.meanPrompt), 0.4)));
        request.tokens = static_cast<std::uint64_t>(std::max(1.0, logNormal(random, traffic.meanTokens, traffic.spread)));
        request.deadline = traffic.deadline;
        request.prefix = 1 + traffic.firstPrefix + random.below(traffic.prefixes);
        trace.requests.push_back(std::move(request));
    }
}

static void sortRequests(Trace &trace)
{
    std::stable_sort(trace.requests.begin(), trace.requests.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
}

/// Four zones, ten workspaces of which three are large.
static Trace padana(const std::string &name, std::int64_t seconds)
{
    Trace trace;
    trace.name = name;
    trace.end = Timestamp(seconds * 1000);
    trace.pools.push_back(pool("tagliatore", {{"padana-mn", 3}, {"padana-cr", 3}, {"padana-vr", 2}, {"padana-pc", 2}}));
    trace.pools.push_back(pool("sportello", {{"padana-mn", 1}, {"padana-cr", 1}, {"padana-vr", 1}, {"padana-pc", 1}}));
    addWorkspaces(trace, "serra", {5, 5, 5, 1, 1, 1, 1, 1, 1, 1});
    return trace;
}

/// All workspaces but one at this part of their promise; the one is described by change.
static Trace padanaMix(const std::string &name, double load, const std::function<void(Traffic &)> &change, std::uint64_t seed)
{
    auto trace = padana(name, 180);
    Random random(seed);
    for (std::size_t i = 0; i < trace.workspaces.size(); ++i) {
        const auto &workspace = trace.workspaces[i];
        Traffic traffic;
        traffic.workspace = workspace.name;
        traffic.policy = "tagliatore";
        traffic.tokensPerSecond = static_cast<double>(workspace.promise) * load;
        traffic.firstPrefix = i * PrefixesPerWorkspace;
        if (i == 9) {
            change(traffic);
        }
        addTraffic(
            trace, traffic, [](double) { return 1.0; }, random);
    }
    sortRequests(trace);
    return trace;
}

static MadeTrace padanaMorning(std::uint64_t seed)
{
    auto trace = padana("padana", 480);
    trace.pools.front().ready = {{"padana-mn", 1}, {"padana-cr", 1}, {"padana-vr", 1}, {"padana-pc", 1}};
    Random random(seed);
    const auto morning = [](double t) { return t < 60 ? 0.3 : t < 240 ? 0.3 + 0.6 * (t - 60) / 180 : t < 330 ? 0.9 : std::max(0.4, 0.9 - (t - 330) / 150); };
    for (std::size_t i = 0; i < trace.workspaces.size(); ++i) {
        const auto &workspace = trace.workspaces[i];
        Traffic traffic;
        traffic.workspace = workspace.name;
        traffic.firstPrefix = i * PrefixesPerWorkspace;
        traffic.policy = "tagliatore";
        traffic.tokensPerSecond = static_cast<double>(workspace.promise) * 0.9;
        addTraffic(trace, traffic, morning, random);
        traffic.policy = "sportello";
        traffic.tokensPerSecond = static_cast<double>(workspace.promise) * 0.1;
        addTraffic(trace, traffic, morning, random);
    }
    sortRequests(trace);
    StatedOutcomes outcomes;
    outcomes.worstWindowPercent = 95;
    outcomes.spendPercent = 110;
    return {std::move(trace), outcomes};
}

/// One trainer whose steps take groups from a pool of prompts; each prompt has a typical length.
static void addTrainer(Trace &trace, std::size_t number, std::uint64_t stalenessBound, Random &random)
{
    constexpr std::size_t Prompts = 60;
    constexpr std::size_t GroupsPerStep = 24;
    constexpr std::size_t SamplesPerGroup = 8;
    constexpr std::size_t Steps = 8;
    constexpr double LongestSample = 1600;
    TraceTrainer trainer;
    trainer.name = "arm-" + std::to_string(number);
    trainer.at = Timestamp(static_cast<std::int64_t>(number) * 7000);
    trainer.workspace = trace.workspaces[number].name;
    trainer.policy = trace.pools.front().policy;
    trainer.zone = trace.zones()[number % trace.zones().size()];
    trainer.stalenessBound = stalenessBound;
    trainer.trainTime = Milliseconds(58000);
    std::vector<double> typical;
    for (std::size_t i = 0; i < Prompts; ++i) {
        typical.push_back(logNormal(random, 330, 0.8));
    }
    for (std::size_t step = 0; step < Steps; ++step) {
        trainer.steps.emplace_back();
        const auto first = random.below(Prompts);
        for (std::size_t g = 0; g < GroupsPerStep; ++g) {
            const auto group = (first + g * 7) % Prompts;
            for (std::size_t i = 0; i < SamplesPerGroup; ++i) {
                const auto tokens = std::clamp(logNormal(random, typical[group], 0.35), 8.0, LongestSample);
                trainer.steps.back().push_back({number * Prompts + group, 400, static_cast<std::uint64_t>(tokens)});
            }
        }
    }
    trace.trainers.push_back(std::move(trainer));
}

/// Three zones, three trainers, new weights every three minutes, one engine crash and one slow engine.
static MadeTrace bengal(std::uint64_t seed)
{
    Trace trace;
    trace.name = "bengal";
    trace.end = Timestamp(600000);
    trace.pools.push_back(pool("policy-lm", {{"malda-a", 4}, {"murshidabad-b", 3}, {"kolkata-c", 3}}));
    trace.pools.push_back(pool("field-desk", {{"malda-a", 1}, {"murshidabad-b", 1}, {"kolkata-c", 1}}));
    addWorkspaces(trace, "resham", {6, 6, 6, 1, 1, 1, 1, 1, 1, 1});
    Random random(seed);
    for (std::size_t i = 0; i < 3; ++i) {
        addTrainer(trace, i, i == 2 ? 0 : 1, random);
    }
    for (std::size_t i = 3; i < trace.workspaces.size(); ++i) {
        Traffic traffic;
        traffic.workspace = trace.workspaces[i].name;
        traffic.policy = i % 2 == 0 ? "field-desk" : "policy-lm";
        traffic.tokensPerSecond = static_cast<double>(trace.workspaces[i].promise) * 0.7;
        traffic.rolloutPart = 0;
        traffic.firstPrefix = i * PrefixesPerWorkspace;
        addTraffic(
            trace, traffic, [](double) { return 1.0; }, random);
    }
    sortRequests(trace);
    for (std::uint64_t version = 2; version <= 4; ++version) {
        trace.publications.push_back({Timestamp(static_cast<std::int64_t>(version - 1) * 180000 - 30000), "policy-lm", version});
    }
    trace.faults.push_back({Timestamp(200000), "policy-lm/malda-a/1", TraceFault::Kind::Crash, 1, Milliseconds(30000)});
    trace.faults.push_back({Timestamp(360000), "policy-lm/kolkata-c/0", TraceFault::Kind::Slow, 4, Milliseconds(120000)});
    StatedOutcomes outcomes;
    outcomes.worstWindowPercent = 95;
    outcomes.stepTimePercent = 115;
    outcomes.idlePercent = 50;
    outcomes.staleDiscarded = 0;
    outcomes.spendPercent = 110;
    return {std::move(trace), outcomes};
}

}

std::vector<MadeTrace> makeTraces(std::uint64_t seedOffset)
{
    using Internal::Traffic;
    StatedOutcomes fair;
    fair.worstWindowPercent = 95;
    auto overloaded = fair;
    overloaded.goodputPercent = 95;
    std::vector<MadeTrace> traces;
    traces.push_back(Internal::padanaMorning(11 + seedOffset));
    traces.push_back(Internal::bengal(23 + seedOffset));
    const auto flood = [](Traffic &traffic) { traffic.tokensPerSecond *= 20 / 0.9; };
    traces.push_back({Internal::padanaMix("flood", 0.9, flood, 31 + seedOffset), fair});
    const auto longPrompts = [](Traffic &traffic) {
        traffic.meanPrompt = 6000;
        traffic.meanTokens = 100;
        traffic.prefixes = 100000;
        traffic.tokensPerSecond *= 2;
    };
    traces.push_back({Internal::padanaMix("long-prompts", 0.9, longPrompts, 32 + seedOffset), fair});
    const auto stragglers = [](Traffic &traffic) {
        traffic.meanTokens = 2500;
        traffic.spread = 0.2;
        traffic.rolloutPart = 1;
        traffic.deadline = Milliseconds(600000);
        traffic.tokensPerSecond *= 10;
    };
    traces.push_back({Internal::padanaMix("stragglers", 0.9, stragglers, 33 + seedOffset), fair});
    traces.push_back({Internal::padanaMix(
                          "triple-load", 3 / Internal::PromisedPart, [](Traffic &) {}, 34 + seedOffset),
                      overloaded});
    for (auto &made : traces) {
        made.outcomes.usageWrong = 0;
        made.outcomes.finalAnswerMs = 50;
    }
    return traces;
}

}
