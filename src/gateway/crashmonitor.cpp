#include "gateway/crashmonitor.h"

#include "http/socketoptions.h"

#include <utility>

namespace Basilbend
{

namespace
{

constexpr Milliseconds ExpiryInterval{10000};

}

CrashMonitor::CrashMonitor(WebClient &client, MetadataStore &store, const EventLoop &loop, EventLog &log, Metrics &metrics, EndpointPicker &picker)
    : m_client(client)
    , m_loop(loop)
    , m_log(log)
    , m_metrics(metrics)
    , m_picker(picker)
    , m_ledger(store,
               loop,
               log,
               {[this](const EndpointCrash &crash) { m_history.record(crash, m_loop.now()); },
                [this](const RequestFingerprint &request, const EndpointStart &endpoint) { m_history.remove(request, endpoint); }})
{
}

void CrashMonitor::start()
{
    m_ledger.start();
    expireLater();
}

void CrashMonitor::expireLater()
{
    m_loop.runAfter(ExpiryInterval, [this] {
        m_history.removeExpired(m_loop.now());
        m_metrics.setGauge("basilbend_suspected_requests", static_cast<double>(m_history.size()));
        expireLater();
    });
}

void CrashMonitor::checkEndpoint(const EndpointRecord &endpoint, std::function<void(bool)> callback)
{
    if (endpoint.isDraining) {
        callback(false);
        return;
    }
    auto &callbacks = m_checks[endpoint.address];
    callbacks.push_back(std::move(callback));
    if (callbacks.size() > 1) {
        return;
    }
    m_client.probe(parseSocketEndpoint(endpoint.address), ProbeTimeout, [this, endpoint](ProbeResult result) {
        const bool hasCrashed = result == ProbeResult::Refused;
        if (hasCrashed) {
            m_picker.recordCrash(endpoint.id, m_loop.now());
            m_metrics.count("basilbend_endpoint_crashes_total", {{"service", endpoint.service}});
        }
        const auto callbacks = std::move(m_checks[endpoint.address]);
        m_checks.erase(endpoint.address);
        for (const auto &waiting : callbacks) {
            waiting(hasCrashed);
        }
    });
}

void CrashMonitor::recordCrash(const EndpointCrash &crash)
{
    const bool isExcused = crash.run == CrashedRun::Regular && m_answered.excuses(crash.request, crash.endpoint, m_loop.now());
    if (isExcused || !m_history.record(crash, m_loop.now())) {
        return;
    }
    m_log.warning("endpoint_crashed_under_request",
                  {{"fingerprint", crash.request.digest},
                   {"workspace", crash.workspace},
                   {"endpoint", crash.endpoint.id},
                   {"run", crashedRunName(crash.run)},
                   {"known_requests", m_history.size()}});
    m_metrics.count("basilbend_crashed_runs_total", {{"run", crashedRunName(crash.run)}});
    m_ledger.record(crash);
}

void CrashMonitor::recordAnswer(const RequestFingerprint &request)
{
    m_answered.record(request, m_loop.now());
    const auto endpoints = m_history.clear(request);
    if (endpoints.empty()) {
        return;
    }
    m_log.info("request_cleared", {{"fingerprint", request.digest}, {"crashes", endpoints.size()}});
    m_ledger.remove(request, endpoints);
}

}
