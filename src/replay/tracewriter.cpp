#include "replay/tracewriter.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace Basilbend
{

namespace Internal
{

using Json = nlohmann::ordered_json;
using Events = std::vector<std::pair<Timestamp, Json>>;

static Json event(const char *kind, Timestamp at)
{
    return {{"at", at.milliseconds()}, {"kind", kind}};
}

static void addSetting(const Trace &trace, Events &events)
{
    for (const auto &pool : trace.pools) {
        auto json = event("pool", Timestamp());
        json.update({{"policy", pool.policy}, {"zones", pool.most}, {"ready", pool.ready}, {"engine_bound", pool.engineBound}});
        json.update({{"stream_rate", pool.streamRate}, {"half_batch", pool.halfBatch}, {"prefill_rate", pool.prefillRate}});
        json.update({{"start_up_ms", pool.startUp.count()}, {"swap_ms", pool.swapPause.count()}});
        events.emplace_back(Timestamp(), std::move(json));
    }
    for (const auto &workspace : trace.workspaces) {
        auto json = event("workspace", Timestamp());
        json.update({{"name", workspace.name}, {"share", workspace.share}, {"promise", workspace.promise}, {"limit", workspace.limit}});
        events.emplace_back(Timestamp(), std::move(json));
    }
}

static void addTrainers(const Trace &trace, Events &events)
{
    for (const auto &trainer : trace.trainers) {
        auto json = event("trainer", trainer.at);
        json.update({{"name", trainer.name}, {"workspace", trainer.workspace}, {"policy", trainer.policy}, {"zone", trainer.zone}});
        json.update({{"staleness_bound", trainer.stalenessBound}, {"train_ms", trainer.trainTime.count()}});
        events.emplace_back(trainer.at, std::move(json));
        for (std::size_t step = 0; step < trainer.steps.size(); ++step) {
            for (const auto &sample : trainer.steps[step]) {
                auto line = event("sample", trainer.at);
                line.update({{"trainer", trainer.name}, {"step", step}, {"group", sample.group}});
                line.update({{"prompt", sample.promptTokens}, {"tokens", sample.tokens}});
                events.emplace_back(trainer.at, std::move(line));
            }
        }
    }
}

static void addTraffic(const Trace &trace, Events &events)
{
    for (const auto &request : trace.requests) {
        auto json = event("request", request.at);
        json.update({{"workspace", request.workspace}, {"policy", request.policy}, {"zone", request.zone}});
        json.update({{"class", request.requestClass == RequestClass::Live ? "live" : "rollout"}, {"prompt", request.promptTokens}});
        json.update({{"tokens", request.tokens}, {"deadline_ms", request.deadline.count()}});
        if (request.prefix != 0) {
            json["prefix"] = request.prefix;
        }
        events.emplace_back(request.at, std::move(json));
    }
    for (const auto &publication : trace.publications) {
        auto json = event("publish", publication.at);
        json.update({{"policy", publication.policy}, {"version", publication.version}});
        events.emplace_back(publication.at, std::move(json));
    }
    for (const auto &fault : trace.faults) {
        auto json = event("fault", fault.at);
        json.update({{"endpoint", fault.endpoint}, {"fault", fault.kind == TraceFault::Kind::Slow ? "slow" : "crash"}});
        json.update({{"factor", fault.factor}, {"for_ms", fault.span.count()}});
        events.emplace_back(fault.at, std::move(json));
    }
}

}

void writeTrace(const Trace &trace, std::ostream &out)
{
    Internal::Events events;
    Internal::addSetting(trace, events);
    Internal::addTrainers(trace, events);
    Internal::addTraffic(trace, events);
    std::stable_sort(events.begin(), events.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    for (const auto &[at, json] : events) {
        out << json.dump() << '\n';
    }
    out << Internal::event("end", trace.end).dump() << '\n';
}

}
