#include "replay/tracereader.h"

#include "config/jsonreader.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace Basilbend
{

namespace Internal
{

constexpr std::uint64_t LongestTraceMs = 7ULL * 24 * 3600 * 1000;
constexpr std::uint64_t MostTokens = 1000000;
constexpr std::uint64_t MostRate = 1000000;
constexpr std::size_t MostStepsOfTrainer = 10000;
constexpr std::uint64_t MostReplicas = 1000;

static Error invalidTrace(const std::string &message)
{
    return {ResultCode::TraceInvalid, message, Execution::NotRun, Milliseconds(0)};
}

static Result<void> finished(const JsonReader &reader)
{
    auto done = reader.result();
    return done ? done : Result<void>(invalidTrace(done.error().message));
}

}

TraceReader::TraceReader(std::string name)
{
    m_trace.name = std::move(name);
}

Result<Trace> TraceReader::read(std::istream &in, const std::string &name)
{
    TraceReader reader(name);
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        if (line.empty()) {
            continue;
        }
        if (reader.m_trace.end != Timestamp()) {
            return Internal::invalidTrace("line " + std::to_string(number) + ": there are events after the end");
        }
        if (const auto added = reader.addLine(line); !added) {
            return Internal::invalidTrace("line " + std::to_string(number) + ": " + added.error().message);
        }
    }
    if (reader.m_trace.end == Timestamp()) {
        return Internal::invalidTrace("the trace has no end event; it may have been cut");
    }
    if (reader.m_trace.pools.empty() || reader.m_trace.workspaces.empty()) {
        return Internal::invalidTrace("the trace needs at least one pool and one workspace");
    }
    return std::move(reader.m_trace);
}

Result<void> TraceReader::addLine(const std::string &line)
{
    const auto parsed = parseJsonObject(line, "event");
    if (!parsed) {
        return Internal::invalidTrace(parsed.error().message);
    }
    JsonReader reader(parsed.value(), "event");
    const auto kind = reader.text("kind");
    const Timestamp at(static_cast<std::int64_t>(reader.number("at", 0, Internal::LongestTraceMs)));
    if (at < m_lastAt) {
        return Internal::invalidTrace("the time " + std::to_string(at.milliseconds()) + " is before that of the line above");
    }
    m_lastAt = at;
    return addEvent(kind, reader, at);
}

Result<void> TraceReader::addEvent(const std::string &kind, JsonReader &reader, Timestamp at)
{
    if (kind == "pool") {
        return addPool(reader);
    }
    if (kind == "workspace") {
        return addWorkspace(reader);
    }
    if (kind == "request") {
        return addRequest(reader, at);
    }
    if (kind == "trainer") {
        return addTrainer(reader, at);
    }
    if (kind == "sample") {
        return addSample(reader);
    }
    if (kind == "publish") {
        return addPublication(reader, at);
    }
    if (kind == "fault") {
        return addFault(reader, at);
    }
    if (kind != "end") {
        return Internal::invalidTrace("the kind \"" + kind + "\" is not known");
    }
    if (at == Timestamp()) {
        return Internal::invalidTrace("the end must be after zero");
    }
    m_trace.end = at;
    return Internal::finished(reader);
}

Result<void> TraceReader::addPool(JsonReader &reader)
{
    TracePool pool;
    pool.policy = reader.name("policy");
    pool.most = reader.numbersOr("zones", {});
    pool.ready = reader.numbersOr("ready", pool.most);
    pool.engineBound = reader.number("engine_bound", 1, Internal::MostReplicas);
    pool.streamRate = reader.number("stream_rate", 1, Internal::MostRate);
    pool.halfBatch = reader.number("half_batch", 1, Internal::MostReplicas);
    pool.prefillRate = reader.number("prefill_rate", 1, Internal::MostRate);
    pool.startUp = Milliseconds(reader.number("start_up_ms", 0, Internal::LongestTraceMs));
    pool.swapPause = Milliseconds(reader.number("swap_ms", 0, Internal::LongestTraceMs));
    for (const auto &[zone, count] : pool.ready) {
        const auto most = pool.most.find(zone);
        if (most == pool.most.end() || count > most->second || most->second > Internal::MostReplicas) {
            return Internal::invalidTrace("the pool has more replicas ready in " + zone + " than it may have");
        }
    }
    if (pool.most.empty() || m_trace.pool(pool.policy)) {
        return Internal::invalidTrace("the pool has no zones or is there twice");
    }
    m_trace.pools.push_back(std::move(pool));
    return Internal::finished(reader);
}

Result<void> TraceReader::addWorkspace(JsonReader &reader)
{
    TraceWorkspace workspace;
    workspace.name = reader.name("name");
    workspace.share = reader.number("share", 1, Internal::MostRate);
    workspace.promise = reader.number("promise", 0, Internal::MostRate);
    workspace.limit = reader.numberOr("limit", 0, 0, Internal::MostRate);
    for (const auto &other : m_trace.workspaces) {
        if (other.name == workspace.name) {
            return Internal::invalidTrace("the workspace " + workspace.name + " is there twice");
        }
    }
    m_trace.workspaces.push_back(std::move(workspace));
    return Internal::finished(reader);
}

Result<void> TraceReader::addRequest(JsonReader &reader, Timestamp at)
{
    TraceRequest request;
    request.at = at;
    request.workspace = reader.name("workspace");
    request.policy = reader.name("policy");
    request.zone = reader.name("zone");
    const auto requestClass = reader.text("class");
    request.requestClass = requestClass == "live" ? RequestClass::Live : RequestClass::Rollout;
    request.promptTokens = reader.number("prompt", 0, Internal::MostTokens);
    request.tokens = reader.number("tokens", 1, Internal::MostTokens);
    request.deadline = Milliseconds(reader.number("deadline_ms", 1, Internal::LongestTraceMs));
    request.prefix = reader.numberOr("prefix", 0, 0, ~std::uint64_t{0});
    if (requestClass != "live" && requestClass != "rollout") {
        return Internal::invalidTrace("the class must be \"live\" or \"rollout\"");
    }
    if (auto used = checkUse(request.workspace, request.policy, request.zone); !used) {
        return used;
    }
    m_trace.requests.push_back(std::move(request));
    return Internal::finished(reader);
}

Result<void> TraceReader::addTrainer(JsonReader &reader, Timestamp at)
{
    TraceTrainer trainer;
    trainer.at = at;
    trainer.name = reader.name("name");
    trainer.workspace = reader.name("workspace");
    trainer.policy = reader.name("policy");
    trainer.zone = reader.name("zone");
    trainer.stalenessBound = reader.number("staleness_bound", 0, Internal::MostRate);
    trainer.trainTime = Milliseconds(reader.number("train_ms", 0, Internal::LongestTraceMs));
    if (auto used = checkUse(trainer.workspace, trainer.policy, trainer.zone); !used) {
        return used;
    }
    m_trace.trainers.push_back(std::move(trainer));
    return Internal::finished(reader);
}

Result<void> TraceReader::addSample(JsonReader &reader)
{
    const auto name = reader.name("trainer");
    const auto step = reader.number("step", 0, Internal::MostStepsOfTrainer);
    TraceSample sample;
    sample.group = reader.number("group", 0, Internal::MostTokens);
    sample.promptTokens = reader.number("prompt", 0, Internal::MostTokens);
    sample.tokens = reader.number("tokens", 1, Internal::MostTokens);
    const auto it = std::find_if(m_trace.trainers.begin(), m_trace.trainers.end(), [&](const TraceTrainer &trainer) { return trainer.name == name; });
    if (it == m_trace.trainers.end()) {
        return Internal::invalidTrace("the trainer " + name + " has not been named");
    }
    if (step > it->steps.size()) {
        return Internal::invalidTrace("step " + std::to_string(step) + " comes before step " + std::to_string(it->steps.size()));
    }
    if (step == it->steps.size()) {
        it->steps.emplace_back();
    }
    it->steps[step].push_back(sample);
    return Internal::finished(reader);
}

Result<void> TraceReader::addPublication(JsonReader &reader, Timestamp at)
{
    TracePublication publication{at, reader.name("policy"), reader.number("version", 1, Internal::LongestTraceMs)};
    if (!m_trace.pool(publication.policy)) {
        return Internal::invalidTrace("no pool serves " + publication.policy);
    }
    for (const auto &earlier : m_trace.publications) {
        if (earlier.policy == publication.policy && earlier.version >= publication.version) {
            return Internal::invalidTrace("the version is not above the one published before");
        }
    }
    m_trace.publications.push_back(std::move(publication));
    return Internal::finished(reader);
}

Result<void> TraceReader::addFault(JsonReader &reader, Timestamp at)
{
    TraceFault fault;
    fault.at = at;
    fault.endpoint = reader.text("endpoint");
    const auto kind = reader.text("fault");
    fault.kind = kind == "slow" ? TraceFault::Kind::Slow : TraceFault::Kind::Crash;
    fault.factor = reader.numberOr("factor", 1, 1, Internal::MostReplicas);
    fault.span = Milliseconds(reader.number("for_ms", 1, Internal::LongestTraceMs));
    if (kind != "slow" && kind != "crash") {
        return Internal::invalidTrace("the fault must be \"crash\" or \"slow\"");
    }
    m_trace.faults.push_back(std::move(fault));
    return Internal::finished(reader);
}

Result<void> TraceReader::checkUse(const std::string &workspace, const std::string &policy, const std::string &zone) const
{
    const auto known = std::any_of(m_trace.workspaces.begin(), m_trace.workspaces.end(), [&](const TraceWorkspace &w) { return w.name == workspace; });
    const auto zones = m_trace.zones();
    if (!known) {
        return Internal::invalidTrace("the workspace " + workspace + " has not been named");
    }
    if (!m_trace.pool(policy)) {
        return Internal::invalidTrace("no pool serves " + policy);
    }
    if (std::find(zones.begin(), zones.end(), zone) == zones.end()) {
        return Internal::invalidTrace("no pool has the zone " + zone);
    }
    return boost::outcome_v2::success();
}

}
