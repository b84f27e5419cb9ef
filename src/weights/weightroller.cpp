#include "weights/weightroller.h"

#include "http/socketoptions.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Larger than any report of an endpoint.
constexpr std::size_t MaxReportBytes = 1024 * 1024;
constexpr Milliseconds ConnectTimeout{300};
constexpr Milliseconds AnswerTimeout{700};
/// A change of weights takes about this long; earlier reports would say nothing.
constexpr Milliseconds UsualLoadTime = LoadRule().usualTime;
constexpr Milliseconds CheckInterval{120};
/// Reports are some hundred milliseconds old, so an unanswered order may show only after this time.
constexpr Milliseconds UnansweredWait{900};
/// An order that has not been carried out by then is given up; it may be planned again.
constexpr Milliseconds LoadTimeout{6000};
/// Pause before an endpoint that failed gets another order.
constexpr Milliseconds FailurePause{600};

}

WeightRoller::WeightRoller(EventLoop loop, EventLog &log, Metrics &metrics, WebClient &client, SystemView &view, std::string holder, WeightRollerHooks hooks)
    : m_loop(std::move(loop))
    , m_log(log)
    , m_metrics(metrics)
    , m_client(client)
    , m_view(view)
    , m_holder(std::move(holder))
    , m_hooks(std::move(hooks))
{
}

void WeightRoller::stop()
{
    m_orders.clear();
    m_pausedUntil.clear();
}

std::uint64_t WeightRoller::versionAt(const EndpointRecord &endpoint, const std::string &model) const
{
    if (const auto unreported = unreportedVersion(endpoint.id, model); unreported > 0) {
        return unreported;
    }
    const auto recorded = endpoint.versionOf(model);
    const auto it = m_confirmed.find(endpoint.id);
    const bool holds =
        it != m_confirmed.end() && it->second.model == model && it->second.recorded == recorded && it->second.startedAtMs == endpoint.startedAtMs;
    return holds ? it->second.version : recorded;
}

bool WeightRoller::isLoading(const std::string &endpoint, const std::string &model) const
{
    const auto it = m_orders.find(endpoint);
    return it != m_orders.end() && it->second.phase != Phase::Reporting && it->second.model == model && unreportedVersion(endpoint, model) == 0;
}

std::uint64_t WeightRoller::unreportedVersion(const std::string &endpoint, const std::string &model) const
{
    const auto it = m_orders.find(endpoint);
    const bool isUnderWay = it != m_orders.end() && it->second.phase == Phase::Loading && it->second.model == model;
    return isUnderWay && LoadRule{UsualLoadTime}.isOver(it->second.load, m_loop.now()) ? it->second.version : 0;
}

void WeightRoller::noteRefused(const std::string &endpoint)
{
    const auto it = m_orders.find(endpoint);
    if (it != m_orders.end() && unreportedVersion(endpoint, it->second.model) > 0) {
        m_log.info("weights_not_loaded_yet",
                   {{"endpoint", endpoint}, {"version", it->second.version}, {"after_ms", m_loop.now() - it->second.load.acceptedAt}});
        it->second.load.wasRefused = true;
    }
}

void WeightRoller::divideEndpoints(const std::map<std::string, ModelLoad> &loads)
{
    ModelDemand demand;
    for (const auto &[model, load] : loads) {
        demand[model] = load.demand;
    }
    for (const auto &[model, published] : m_view.publishedVersions()) {
        demand.emplace(model, 0);
    }
    std::vector<AssignableEndpoint> endpoints;
    for (const auto *record : m_view.endpoints().all()) {
        if (record->isDraining || record->models.empty()) {
            continue;
        }
        AssignableEndpoint endpoint{record->id, {}};
        for (const auto &model : record->models) {
            endpoint.versions[model.name] = versionAt(*record, model.name);
        }
        endpoints.push_back(std::move(endpoint));
    }
    m_assignment.update(endpoints, demand);
}

WeightRoller::Order *WeightRoller::find(const std::string &endpoint, std::uint64_t serial)
{
    const auto it = m_orders.find(endpoint);
    return it == m_orders.end() || it->second.serial != serial ? nullptr : &it->second;
}

void WeightRoller::poll()
{
    if (!m_hooks.mayAct() || m_view.routes() == nullptr) {
        return;
    }
    const auto loads = m_hooks.loads();
    divideEndpoints(loads);
    // What no step can use goes first, over all models.
    for (const bool urgentOnly : {true, false}) {
        for (const auto &[model, published] : m_view.publishedVersions()) {
            const auto it = loads.find(model);
            pollModel(model, published, it == loads.end() ? ModelLoad() : it->second, urgentOnly);
        }
    }
}

int WeightRoller::freeLoads() const
{
    const auto all = m_view.endpoints().all();
    const auto engines = std::count_if(all.begin(), all.end(), [](const EndpointRecord *record) { return !record->models.empty(); });
    // The report of an endpoint comes later than the end of its change, so only the change itself counts.
    const auto now = m_loop.now();
    const auto loading = std::count_if(m_orders.begin(), m_orders.end(), [now](const auto &entry) {
        return entry.second.phase != Phase::Loading || now - entry.second.load.acceptedAt < UsualLoadTime;
    });
    return loadsAtOnce(static_cast<std::size_t>(engines)) - static_cast<int>(loading);
}

void WeightRoller::pollModel(const std::string &model, std::uint64_t published, const ModelLoad &load, bool urgentOnly)
{
    const auto now = m_loop.now();
    std::vector<WeightEndpoint> endpoints;
    for (const auto *record : m_view.endpoints().all()) {
        if (record->isDraining || record->versionOf(model) == 0 || m_assignment.homeOf(record->id) != model) {
            continue;
        }
        const auto paused = m_pausedUntil.find(record->id);
        endpoints.push_back({record->id,
                             versionAt(*record, model),
                             m_hooks.runningAt(record->id),
                             m_orders.count(record->id) > 0,
                             paused != m_pausedUntil.end() && now < paused->second});
    }
    for (const auto &id : planOrders(endpoints, {published, load.requiredVersion, load.hasWaiting, load.isTight}, freeLoads(), urgentOnly)) {
        if (const auto *record = m_view.endpoints().find(id)) {
            begin(*record, model, published);
        }
    }
}

void WeightRoller::begin(const EndpointRecord &endpoint, const std::string &model, std::uint64_t version)
{
    auto &order = m_orders[endpoint.id];
    order.endpoint = endpoint;
    order.model = model;
    order.version = version;
    order.startedAt = m_loop.now();
    order.serial = ++m_lastSerial;
    report(endpoint.id);
}

void WeightRoller::call(const std::string &endpoint, const RequestMessage &message, const std::function<void(CallEnd)> &onEnd)
{
    auto &order = m_orders.at(endpoint);
    const auto serial = order.serial;
    order.status = 0;
    order.body.clear();
    CallHooks hooks;
    hooks.onHead = [this, endpoint, serial](const ResponseHead &head) {
        if (auto *open = find(endpoint, serial)) {
            open->status = head.status;
            if (isEndpointLeaving(head)) {
                m_view.noteEndpointLeaving(endpoint, open->endpoint.startedAtMs);
            }
        }
    };
    hooks.onBody = [this, endpoint, serial](std::string_view data) {
        if (auto *open = find(endpoint, serial)) {
            open->body.append(data);
        }
    };
    hooks.maxBodyBytes = MaxReportBytes;
    auto isOpen = std::make_shared<bool>(true);
    hooks.onEnd = [this, endpoint, serial, isOpen, onEnd](CallEnd end) {
        *isOpen = false;
        if (find(endpoint, serial) != nullptr) {
            onEnd(end);
        }
    };
    order.call = m_client.send(socketEndpoint(order.endpoint.address), message, std::move(hooks), ConnectTimeout);
    m_loop.runAfter(AnswerTimeout, [this, endpoint, serial, isOpen, onEnd] {
        auto *open = find(endpoint, serial);
        if (*isOpen && open != nullptr) {
            *isOpen = false;
            open->call.cancel();
            onEnd(CallEnd::ClosedUnanswered);
        }
    });
}

void WeightRoller::report(const std::string &endpoint)
{
    call(endpoint, makeStateRequest(m_orders.at(endpoint).endpoint), [this, endpoint](CallEnd end) { acceptReport(endpoint, end); });
}

void WeightRoller::acceptReport(const std::string &endpoint, CallEnd end)
{
    auto &order = m_orders.at(endpoint);
    const auto state = end == CallEnd::Complete && order.status == 200 ? decodeEndpointState(order.body)
                                                                       : Result<EndpointState>(Error{ResultCode::EndpointFailed, "no report"});
    const auto now = m_loop.now();
    if (!state) {
        if (order.phase == Phase::Loading && now - order.startedAt < LoadTimeout) {
            checkLater(endpoint, CheckInterval * 2);
        } else {
            giveUp(endpoint, "no_report");
        }
        return;
    }
    const auto &models = state.value().models;
    const auto it = std::find_if(models.begin(), models.end(), [&order](const ServedModel &model) { return model.name == order.model; });
    const auto version = it == models.end() ? 0 : it->version;
    if (version >= order.version && !state.value().isBusy) {
        confirm(order, version);
        return;
    }
    if (order.phase == Phase::Loading) {
        const bool isIgnored = order.load.isUnanswered && state.value().acceptedOrders <= order.expectedOrders && !state.value().isBusy;
        if (now - order.startedAt >= LoadTimeout) {
            giveUp(endpoint, "not_carried_out");
        } else if (isIgnored && now - order.load.acceptedAt >= UnansweredWait) {
            // Repeating the order with the same expectation is safe: only one of the two can be carried out.
            sendOrder(endpoint);
        } else {
            checkLater(endpoint, CheckInterval);
        }
        return;
    }
    if (state.value().isBusy) {
        giveUp(endpoint, "busy");
        return;
    }
    order.expectedOrders = state.value().acceptedOrders;
    sendOrder(endpoint);
}

void WeightRoller::sendOrder(const std::string &endpoint)
{
    auto &order = m_orders.at(endpoint);
    // A pause of the process may have ended the lease since the order was planned.
    if (!m_hooks.mayAct()) {
        giveUp(endpoint, "not_leading");
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
                {"running", m_hooks.runningAt(endpoint)}});
    m_metrics.count("basilbend_weight_orders_total");
    call(endpoint, makeOrderRequest(message, order.endpoint), [this, endpoint](CallEnd end) { acceptOrderAnswer(endpoint, end); });
}

void WeightRoller::acceptOrderAnswer(const std::string &endpoint, CallEnd end)
{
    auto &order = m_orders.at(endpoint);
    order.load = {m_loop.now(), false, false};
    if (end == CallEnd::Complete && order.status == 202) {
        order.phase = Phase::Loading;
        checkLater(endpoint, UsualLoadTime);
        // Work and the next change may begin when this one has ended.
        m_loop.runAfter(UsualLoadTime, [this] {
            m_hooks.onChanged();
            poll();
        });
        return;
    }
    if (end == CallEnd::Complete && order.status == 200) {
        confirm(order, order.version);
        return;
    }
    if (end == CallEnd::Complete || end == CallEnd::NotConnected) {
        m_log.warning("weights_refused", {{"endpoint", endpoint}, {"version", order.version}, {"end", callEndName(end)}, {"status", order.status}});
        giveUp(endpoint, "refused");
        return;
    }
    m_log.warning("weights_order_unanswered", {{"endpoint", endpoint}, {"version", order.version}, {"end", callEndName(end)}});
    order.phase = Phase::Loading;
    order.load.isUnanswered = true;
    checkLater(endpoint, CheckInterval * 2);
}

void WeightRoller::checkLater(const std::string &endpoint, Milliseconds pause)
{
    const auto serial = m_orders.at(endpoint).serial;
    m_loop.runAfter(pause, [this, endpoint, serial] {
        if (find(endpoint, serial) != nullptr) {
            report(endpoint);
        }
    });
}

void WeightRoller::confirm(Order &order, std::uint64_t version)
{
    const auto endpoint = order.endpoint.id;
    const auto *record = m_view.endpoints().find(endpoint);
    const auto recorded = record == nullptr ? 0 : record->versionOf(order.model);
    m_confirmed[endpoint] = {order.model, version, recorded, order.endpoint.startedAtMs};
    m_log.info("weights_confirmed", {{"endpoint", endpoint}, {"version", version}, {"took_ms", m_loop.now() - order.startedAt}});
    m_metrics.observe("basilbend_weight_change_seconds", static_cast<double>((m_loop.now() - order.startedAt).count()) / 1000);
    m_orders.erase(endpoint);
    m_hooks.onChanged();
    poll();
}

void WeightRoller::giveUp(const std::string &endpoint, const char *why)
{
    m_log.warning("weights_order_given_up", {{"endpoint", endpoint}, {"version", m_orders.at(endpoint).version}, {"why", why}});
    m_pausedUntil[endpoint] = m_loop.now() + FailurePause;
    m_orders.erase(endpoint);
    m_hooks.onChanged();
}

}
