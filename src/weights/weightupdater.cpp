#include "weights/weightupdater.h"

#include "http/socketoptions.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Limit that is larger than any report of an endpoint.
constexpr std::size_t MaxReportBytes = 1024 * 1024;
constexpr Milliseconds ConnectTimeout{300};
constexpr Milliseconds AnswerTimeout{700};
/// Usual duration of a change of weights. A report that is requested earlier would still show the old version.
constexpr Milliseconds UsualLoadTime = LoadCompletionRule().usualTime;
constexpr Milliseconds CheckInterval{120};
/// Time after which an unanswered order that no report shows is sent again. Reports are some hundred milliseconds old.
constexpr Milliseconds OrderRepeatDelay{900};
/// Time limit of an order from its start. An order that exceeds it is abandoned and may be planned again.
constexpr Milliseconds LoadTimeout{6000};
/// Minimum time between two plans. Under load many endpoints change in this time, and one plan handles them all.
constexpr Milliseconds MinPlanInterval{50};
/// Pause before an endpoint whose order failed gets another one.
constexpr Milliseconds FailurePause{600};

}

WeightUpdater::WeightUpdater(EventLoop loop, EventLog &log, Metrics &metrics, WebClient &client, SystemView &view, std::string holder, WeightUpdaterHooks hooks)
    : m_loop(std::move(loop))
    , m_log(log)
    , m_metrics(metrics)
    , m_client(client)
    , m_view(view)
    , m_holder(std::move(holder))
    , m_hooks(std::move(hooks))
{
}

void WeightUpdater::stop()
{
    m_orders.clear();
    m_pausedUntil.clear();
}

std::uint64_t WeightUpdater::servedVersion(const EndpointRecord &endpoint, const std::string &model) const
{
    if (const auto unreported = unreportedVersion(endpoint.id, model); unreported > 0) {
        return unreported;
    }
    const auto registryVersion = endpoint.versionOf(model);
    const auto it = m_confirmed.find(endpoint.id);
    const bool isCurrent =
        it != m_confirmed.end() && it->second.model == model && it->second.registryVersion == registryVersion && it->second.startedAtMs == endpoint.startedAtMs;
    return isCurrent ? it->second.version : registryVersion;
}

bool WeightUpdater::isLoading(const std::string &endpoint, const std::string &model) const
{
    const auto it = m_orders.find(endpoint);
    return it != m_orders.end() && it->second.phase != Phase::Reporting && it->second.model == model && unreportedVersion(endpoint, model) == 0;
}

std::uint64_t WeightUpdater::unreportedVersion(const std::string &endpoint, const std::string &model) const
{
    const auto it = m_orders.find(endpoint);
    const bool isPending = it != m_orders.end() && it->second.phase == Phase::Loading && it->second.model == model;
    return isPending && LoadCompletionRule{UsualLoadTime}.isPresumedComplete(it->second.load, m_loop.now()) ? it->second.version : 0;
}

void WeightUpdater::recordWorkRefusal(const std::string &endpoint)
{
    const auto it = m_orders.find(endpoint);
    if (it != m_orders.end() && unreportedVersion(endpoint, it->second.model) > 0) {
        m_log.info("weights_not_loaded_yet",
                   {{"endpoint", endpoint}, {"version", it->second.version}, {"after_ms", m_loop.now() - it->second.load.acceptedAt}});
        it->second.load.hasRefusedWork = true;
    }
}

void WeightUpdater::assignEndpoints(const std::map<std::string, ModelWorkload> &workloads)
{
    ModelDemand demand;
    for (const auto &[model, workload] : workloads) {
        demand[model] = workload.demand;
    }
    for (const auto &[model, published] : m_view.publishedVersions()) {
        demand.emplace(model, 0);
    }
    std::vector<std::string> endpoints;
    for (const auto *record : m_view.endpoints().all()) {
        if (!m_view.endpoints().mayReceiveRequests(*record) || record->models.empty()) {
            continue;
        }
        endpoints.push_back(record->id);
    }
    m_assignment.update(endpoints, demand);
}

WeightUpdater::Order *WeightUpdater::findOrder(const std::string &endpoint, std::uint64_t serial)
{
    const auto it = m_orders.find(endpoint);
    return it == m_orders.end() || it->second.serial != serial ? nullptr : &it->second;
}

void WeightUpdater::startDueOrders()
{
    if (m_isPlanScheduled) {
        return;
    }
    const auto sinceLastPlan = m_loop.now() - m_lastPlanAt;
    if (sinceLastPlan >= MinPlanInterval) {
        planAllModels();
        return;
    }
    m_isPlanScheduled = true;
    m_loop.runAfter(MinPlanInterval - sinceLastPlan, [this] {
        m_isPlanScheduled = false;
        planAllModels();
    });
}

void WeightUpdater::planAllModels()
{
    if (!m_hooks.maySendOrders() || m_view.routes() == nullptr) {
        return;
    }
    m_lastPlanAt = m_loop.now();
    const auto workloads = m_hooks.workloads();
    assignEndpoints(workloads);
    auto endpoints = endpointsByModel();
    int loadsLeft = freeLoads();
    // Urgent endpoints of all models go before the others of any model.
    for (const bool urgentOnly : {true, false}) {
        for (const auto &[model, published] : m_view.publishedVersions()) {
            const auto it = workloads.find(model);
            const auto workload = it == workloads.end() ? ModelWorkload() : it->second;
            const ModelWeightState state{published, workload.requiredVersion, workload.hasWaitingItems, workload.isShortOfSlots};
            loadsLeft -= startOrders(model, state, endpoints[model], loadsLeft, urgentOnly);
        }
    }
}

int WeightUpdater::freeLoads() const
{
    const auto all = m_view.endpoints().all();
    const auto engines = std::count_if(all.begin(), all.end(), [](const EndpointRecord *record) { return !record->models.empty(); });
    // A report arrives some time after the load has ended, so a load counts for its usual duration only.
    const auto now = m_loop.now();
    const auto loading = std::count_if(m_orders.begin(), m_orders.end(), [now](const auto &entry) {
        return entry.second.phase != Phase::Loading || now - entry.second.load.acceptedAt < UsualLoadTime;
    });
    return maxConcurrentLoads(static_cast<std::size_t>(engines)) - static_cast<int>(loading);
}

std::map<std::string, std::vector<WeightEndpoint>> WeightUpdater::endpointsByModel() const
{
    const auto now = m_loop.now();
    std::map<std::string, std::vector<WeightEndpoint>> endpoints;
    for (const auto *record : m_view.endpoints().all()) {
        const auto model = m_assignment.modelOf(record->id);
        if (!m_view.endpoints().mayReceiveRequests(*record) || record->versionOf(model) == 0) {
            continue;
        }
        const auto paused = m_pausedUntil.find(record->id);
        endpoints[model].push_back({record->id,
                                    servedVersion(*record, model),
                                    m_hooks.runningItemCount(record->id),
                                    m_orders.count(record->id) > 0,
                                    paused != m_pausedUntil.end() && now < paused->second});
    }
    return endpoints;
}

int WeightUpdater::startOrders(const std::string &model, const ModelWeightState &state, std::vector<WeightEndpoint> &endpoints, int maxOrders, bool urgentOnly)
{
    const auto ids = planOrders(endpoints, state, maxOrders, urgentOnly);
    for (const auto &id : ids) {
        if (const auto *record = m_view.endpoints().find(id)) {
            startOrder(*record, model, state.published);
        }
    }
    for (auto &endpoint : endpoints) {
        endpoint.isLoading = endpoint.isLoading || std::count(ids.begin(), ids.end(), endpoint.id) > 0;
    }
    return static_cast<int>(ids.size());
}

void WeightUpdater::startOrder(const EndpointRecord &endpoint, const std::string &model, std::uint64_t version)
{
    auto &order = m_orders[endpoint.id];
    order.endpoint = endpoint;
    order.model = model;
    order.version = version;
    order.startedAt = m_loop.now();
    order.serial = ++m_lastSerial;
    requestReport(endpoint.id);
}

void WeightUpdater::sendRequest(const std::string &endpoint, const RequestMessage &message, const std::function<void(CallOutcome)> &onEnd)
{
    auto &order = m_orders.at(endpoint);
    if (m_view.endpoints().evacuatedZones().count(order.endpoint.zone) > 0) {
        abandonOrder(endpoint, "zone_evacuated");
        return;
    }
    const auto serial = order.serial;
    order.status = 0;
    order.body.clear();
    CallHooks hooks;
    hooks.onHead = [this, endpoint, serial](const ResponseHead &head) {
        if (auto *open = findOrder(endpoint, serial)) {
            open->status = head.status;
            if (isEndpointLeaving(head)) {
                m_view.markEndpointLeaving(endpoint, open->endpoint.startedAtMs);
            }
        }
    };
    hooks.onBody = [this, endpoint, serial](std::string_view data) {
        if (auto *open = findOrder(endpoint, serial)) {
            open->body.append(data);
        }
    };
    hooks.matchResponse = matchUnnamedResponse;
    hooks.maxBodyBytes = MaxReportBytes;
    auto isOpen = std::make_shared<bool>(true);
    hooks.onEnd = [this, endpoint, serial, isOpen, onEnd](CallOutcome outcome) {
        *isOpen = false;
        if (findOrder(endpoint, serial) != nullptr) {
            onEnd(outcome);
        }
    };
    order.call = m_client.send(parseSocketEndpoint(order.endpoint.address), message, std::move(hooks), ConnectTimeout);
    m_loop.runAfter(AnswerTimeout, [this, endpoint, serial, isOpen, onEnd] {
        auto *open = findOrder(endpoint, serial);
        if (*isOpen && open != nullptr) {
            *isOpen = false;
            open->call.cancel();
            onEnd(CallOutcome::ClosedUnanswered);
        }
    });
}

void WeightUpdater::requestReport(const std::string &endpoint)
{
    sendRequest(endpoint, makeStateRequest(m_orders.at(endpoint).endpoint), [this, endpoint](CallOutcome outcome) { handleReport(endpoint, outcome); });
}

void WeightUpdater::handleReport(const std::string &endpoint, CallOutcome outcome)
{
    auto &order = m_orders.at(endpoint);
    // A report without a length that was cut off is no JSON object.
    const bool hasReport = (outcome == CallOutcome::Complete || outcome == CallOutcome::Unframed) && order.status == 200;
    const auto state = hasReport ? decodeEndpointState(order.body) : Result<EndpointState>(Error{ResultCode::EndpointFailed, "no report"});
    const auto now = m_loop.now();
    if (!state) {
        if (order.phase == Phase::Loading && now - order.startedAt < LoadTimeout) {
            scheduleReport(endpoint, CheckInterval * 2);
        } else {
            abandonOrder(endpoint, "no_report");
        }
        return;
    }
    const auto &models = state.value().models;
    const auto it = std::find_if(models.begin(), models.end(), [&order](const ServedModel &model) { return model.name == order.model; });
    const auto version = it == models.end() ? 0 : it->version;
    if (version >= order.version && !state.value().isBusy) {
        confirmVersion(order, version);
        return;
    }
    if (order.phase == Phase::Loading) {
        const bool isIgnored = order.load.isUnanswered && state.value().acceptedOrders <= order.expectedOrders && !state.value().isBusy;
        if (now - order.startedAt >= LoadTimeout) {
            abandonOrder(endpoint, "not_carried_out");
        } else if (isIgnored && now - order.load.acceptedAt >= OrderRepeatDelay) {
            // Repeating the order with the same precondition is safe: at most one of the two is carried out.
            sendOrder(endpoint);
        } else {
            scheduleReport(endpoint, CheckInterval);
        }
        return;
    }
    if (state.value().isBusy) {
        abandonOrder(endpoint, "busy");
        return;
    }
    order.expectedOrders = state.value().acceptedOrders;
    sendOrder(endpoint);
}

void WeightUpdater::sendOrder(const std::string &endpoint)
{
    auto &order = m_orders.at(endpoint);
    // The lease may have expired since the order was planned, if the process was paused.
    if (!m_hooks.maySendOrders()) {
        abandonOrder(endpoint, "not_leading");
        return;
    }
    order.phase = Phase::Ordering;
    const WeightOrder message{order.model,
                              order.version,
                              m_hooks.needsSingleVersion(order.model) ? SwitchMode::Wait : SwitchMode::KeepRunning,
                              m_holder,
                              m_hooks.fencingToken(),
                              order.expectedOrders};
    m_log.info("weights_ordered",
               {{"endpoint", endpoint},
                {"model", order.model},
                {"version", order.version},
                {"token", message.fencingToken},
                {"expected_orders", order.expectedOrders},
                {"running", m_hooks.runningItemCount(endpoint)}});
    m_metrics.count("basilbend_weight_orders_total");
    sendRequest(endpoint, makeOrderRequest(message, order.endpoint), [this, endpoint](CallOutcome outcome) { handleOrderAnswer(endpoint, outcome); });
}

void WeightUpdater::handleOrderAnswer(const std::string &endpoint, CallOutcome outcome)
{
    auto &order = m_orders.at(endpoint);
    order.load = {m_loop.now(), false, false};
    if (outcome == CallOutcome::Complete && order.status == 202) {
        order.phase = Phase::Loading;
        scheduleReport(endpoint, UsualLoadTime);
        // Work and the next load may start as soon as this load should be complete.
        m_loop.runAfter(UsualLoadTime, [this] {
            m_hooks.onEndpointChanged();
            startDueOrders();
        });
        return;
    }
    if (outcome == CallOutcome::Complete && order.status == 200) {
        // The answer names no order, so it may be a late copy of another one; only a report shows the version.
        order.phase = Phase::Loading;
        order.load.isUnanswered = true;
        requestReport(endpoint);
        return;
    }
    if (outcome == CallOutcome::Complete || outcome == CallOutcome::NotConnected) {
        m_log.warning("weights_refused", {{"endpoint", endpoint}, {"version", order.version}, {"end", callOutcomeName(outcome)}, {"status", order.status}});
        abandonOrder(endpoint, "refused");
        return;
    }
    m_log.warning("weights_order_unanswered", {{"endpoint", endpoint}, {"version", order.version}, {"end", callOutcomeName(outcome)}});
    order.phase = Phase::Loading;
    order.load.isUnanswered = true;
    scheduleReport(endpoint, CheckInterval * 2);
}

void WeightUpdater::scheduleReport(const std::string &endpoint, Milliseconds pause)
{
    const auto serial = m_orders.at(endpoint).serial;
    m_loop.runAfter(pause, [this, endpoint, serial] {
        if (findOrder(endpoint, serial) != nullptr) {
            requestReport(endpoint);
        }
    });
}

void WeightUpdater::confirmVersion(Order &order, std::uint64_t version)
{
    const auto endpoint = order.endpoint.id;
    const auto *record = m_view.endpoints().find(endpoint);
    const auto registryVersion = record == nullptr ? 0 : record->versionOf(order.model);
    m_confirmed[endpoint] = {order.model, version, registryVersion, order.endpoint.startedAtMs};
    m_log.info("weights_confirmed", {{"endpoint", endpoint}, {"version", version}, {"took_ms", m_loop.now() - order.startedAt}});
    m_metrics.observe("basilbend_weight_change_seconds", static_cast<double>((m_loop.now() - order.startedAt).count()) / 1000);
    m_orders.erase(endpoint);
    m_hooks.onEndpointChanged();
    startDueOrders();
}

void WeightUpdater::abandonOrder(const std::string &endpoint, const char *why)
{
    m_log.warning("weights_order_given_up", {{"endpoint", endpoint}, {"version", m_orders.at(endpoint).version}, {"why", why}});
    m_pausedUntil[endpoint] = m_loop.now() + FailurePause;
    m_orders.erase(endpoint);
    m_hooks.onEndpointChanged();
}

}
