#include "entry/stepapi.h"

#include "base/rendezvous.h"
#include "entry/entryhub.h"
#include "entry/samplesink.h"
#include "net/attemptline.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <xxhash.h>

namespace Basilbend
{

using nlohmann::json;

namespace Internal
{

constexpr Milliseconds StepTick{50};
/// After a refusal for lack of room, or the same sample would be offered in each tick.
constexpr Milliseconds NoRoomPause{200};
constexpr std::size_t PrefixHashBytes = 256;

std::uint64_t stepSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

bool isLackOfRoom(std::optional<ResultCode> code)
{
    return code == ResultCode::Overloaded || code == ResultCode::NoEndpoint || code == ResultCode::Draining || code == ResultCode::EndpointFailed;
}

}

StepApi::StepApi(EntryService &service, const EntrySettings &settings, NowFunction now, StepServiceSettings steps)
    : m_entry(service)
    , m_zone(settings.zone)
    , m_now(std::move(now))
    , m_steps(settings.node, hooks(), Random(Internal::stepSeed()), steps)
{
    auto &routes = service.attachments().routes;
    routes.add("/v1/steps", [this](Blackboard &, Timestamp, const HttpRequest &request, std::unique_ptr<HttpResponder> responder) {
        handleCaller(request, std::move(responder));
    });
    routes.add("/internal/steps/", [this](Blackboard &, Timestamp, const HttpRequest &request, std::unique_ptr<HttpResponder> responder) {
        handleInternal(request, std::move(responder));
    });
    service.attachments().controllers.push_back({Internal::StepTick, [this](Blackboard &, Timestamp at) { tick(at); }});
}

StepApi::~StepApi() = default;

void StepApi::setPeers(std::vector<StepPeer> peers)
{
    const std::lock_guard lock(m_mutex);
    m_peers = std::move(peers);
}

void StepApi::setAdmission(AdmissionHooks hooks)
{
    m_admission = std::move(hooks);
}

void StepApi::versionPublished(const std::string &model, std::uint64_t version)
{
    const std::lock_guard lock(m_mutex);
    auto &newest = m_published[model];
    newest = std::max(newest, version);
}

void StepApi::handOver()
{
    m_entry.control().post([this] { m_steps.handOver(m_now()); });
}

bool StepApi::isIdle() const
{
    return m_idle;
}

StepHooks StepApi::hooks()
{
    StepHooks hooks;
    hooks.start = [this](const Step &step, const SampleOrder &order) { return start(step, order); };
    hooks.hasSpareCapacity = [this](const std::string &model) {
        const auto it = m_loads.find(model);
        // A fifth is left for callers that wait for an answer.
        return it != m_loads.end() && it->second.busy * 5 < it->second.capacity * 4;
    };
    hooks.newestVersion = [this](const std::string &model) {
        const auto it = m_loads.find(model);
        const std::lock_guard lock(m_mutex);
        const auto published = m_published.find(model);
        return std::max(it == m_loads.end() ? 0 : it->second.newest, published == m_published.end() ? 0 : published->second);
    };
    hooks.revoke = [this](const std::string &, const AttemptRef &ref) { revoke(ref); };
    hooks.release = [this](const std::string &step, const std::string &node, const std::vector<AttemptRef> &refs) { release(step, node, refs); };
    hooks.attach = [this](const std::string &step, const std::string &node, const std::vector<AttemptRef> &refs) { attach(step, node, refs); };
    // Their runs go on to the end, and StepService ignores what they tell.
    hooks.abandon = [](const std::string &) {};
    hooks.sendCopy = [this](const std::string &node, const std::string &step, const json &copy, const StepAnswer &answer) {
        HttpClientRequest request;
        request.method = "PUT";
        request.url = "/internal/steps/" + step;
        request.body = copy.dump(-1, ' ', false, json::error_handler_t::replace);
        request.timeout = Milliseconds(2000);
        sendToPeer(node, std::move(request), answer);
    };
    hooks.forward = [this](const std::string &node, const StepCall &call, const StepAnswer &answer) {
        HttpClientRequest request;
        request.method = "POST";
        request.url = "/internal/steps/" + call.step;
        request.body = stepCallToJson(call).dump(-1, ' ', false, json::error_handler_t::replace);
        request.timeout = std::max(call.wait, Milliseconds(0)) + Milliseconds(3000);
        sendToPeer(node, std::move(request), answer);
    };
    hooks.chooseHolders = [this](const std::string &unique, std::size_t count) { return chooseHolders(unique, count); };
    return hooks;
}

std::optional<StartedSample> StepApi::start(const Step &step, const SampleOrder &order)
{
    const auto now = m_now();
    const auto load = m_loads.find(step.model);
    const auto configuration = m_entry.control().blackboard().configuration();
    const auto workspace = configuration->workspaces.find(step.workspace);
    if (load == m_loads.end() || m_runningPerModel[step.model] >= load->second.capacity || now < m_pausedUntil[step.model]
        || workspace == configuration->workspaces.end()) {
        return std::nullopt;
    }
    const auto allowed = CallerCheck(*configuration, true).allowPolicy({step.workspace, workspace->second.plan, {}, {}}, step.model);
    const std::uint64_t expected = step.maxTokens - std::min<std::uint64_t>(step.maxTokens, order.prefix.tokens);
    if (!allowed || (m_admission.admit && !m_admission.admit(step.workspace, expected))) {
        m_pausedUntil[step.model] = now + Internal::NoRoomPause;
        return std::nullopt;
    }
    const auto started = std::make_shared<SampleSink::Start>();
    const auto ended =
        [this, model = step.model, name = step.workspace, expected](const AttemptId &attempt, std::uint64_t tokens, std::optional<ResultCode> error) {
            sampleEnded(model, name, expected, attempt, tokens, error);
        };
    auto sink = std::make_unique<SampleSink>(m_entry.control(), m_steps, m_now, step.id, order.index, started, ended);
    const auto run = m_entry.hub().run(runRequest(step, order, allowed.value()), std::move(sink));
    if (!started->sent) {
        m_pausedUntil[step.model] = now + Internal::NoRoomPause;
        if (m_admission.settle) {
            m_admission.settle(step.workspace, expected, 0);
        }
        return std::nullopt;
    }
    m_runs[started->sent->attempt] = run;
    ++m_runningPerModel[step.model];
    return started->sent;
}

RunRequest StepApi::runRequest(const Step &step, const SampleOrder &order, std::uint64_t allowedVersion) const
{
    const auto &prompt = step.groups[order.group].prompt;
    RunRequest run;
    run.requestId = step.id + "/" + std::to_string(order.index);
    run.workspace = step.workspace;
    run.requestClass = RequestClass::Rollout;
    run.deadline = step.deadline;
    run.expectedTokens = step.maxTokens;
    run.minimumVersion = std::max(order.minimumVersion, allowedVersion);
    const auto load = m_loads.find(step.model);
    run.preferredVersion = load == m_loads.end() ? 0 : load->second.newest;
    run.prefixHash = XXH3_64bits(prompt.data(), std::min(prompt.size(), Internal::PrefixHashBytes));
    run.engine.model = step.model;
    run.engine.prompt = prompt;
    run.engine.maxTokens = step.maxTokens;
    // The samples of a group differ by their seed only, and a resumed one must go on with the same.
    run.engine.parameters = json{{"seed", promptKey(run.requestId) >> 1U}}.dump();
    run.prefix = order.prefix;
    run.sample = SampleTag{step.id, order.index, 0, {}};
    run.maxAttempts = 1;
    run.avoidEndpoint = order.avoidEndpoint;
    return run;
}

void StepApi::sampleEnded(const std::string &model,
                          const std::string &workspace,
                          std::uint64_t expected,
                          const AttemptId &attempt,
                          std::uint64_t tokens,
                          std::optional<ResultCode> error)
{
    m_runs.erase(attempt);
    --m_runningPerModel[model];
    if (m_admission.settle) {
        m_admission.settle(workspace, expected, tokens);
    }
    if (Internal::isLackOfRoom(error)) {
        m_pausedUntil[model] = m_now() + Internal::NoRoomPause;
    }
}

void StepApi::revoke(const AttemptRef &ref)
{
    const auto run = m_runs.find(ref.attempt);
    if (run != m_runs.end()) {
        m_entry.hub().cancel(run->second, Error{ResultCode::Cancelled, "the sample is not needed any more"});
        return;
    }
    if (const auto report = endpoint(ref.endpoint)) {
        HttpClientRequest request;
        request.method = "POST";
        request.url = "http://" + report->address + "/internal/attempts/revoke";
        request.body = json{{"attempt", ref.attempt.toString()}, {"sidecar_incarnation", report->incarnation}, {"cancel", true}}.dump();
        request.timeout = Milliseconds(5000);
        m_entry.hub().client().send(std::move(request), nullptr);
    }
}

std::optional<EndpointReport> StepApi::endpoint(const std::string &node) const
{
    for (const auto &report : m_entry.hub().directory().reports()) {
        if (report.node == node) {
            return report;
        }
    }
    return std::nullopt;
}

std::vector<std::string> StepApi::chooseHolders(const std::string &unique, std::size_t count) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &peer : m_peers) {
            (peer.zone == m_zone ? near : far).push_back(peer.node);
        }
    }
    auto chosen = rendezvousOrder(unique, far, count);
    for (const auto &node : rendezvousOrder(unique, near, count - chosen.size())) {
        chosen.push_back(node);
    }
    return chosen;
}

void StepApi::tick(Timestamp now)
{
    m_loads.clear();
    for (const auto &report : m_entry.hub().directory().reports()) {
        auto &load = m_loads[report.serves];
        load.newest = std::max(load.newest, report.version);
        if (!report.isService && report.inRotation && !report.leaving) {
            load.capacity += report.capacity;
            load.busy += report.running + report.waiting;
        }
    }
    m_steps.tick(now);
    m_idle = m_steps.stepCount() == 0;
}

}
