#include "daemon/gatewaydaemon.h"

#include "billing/usagepublisher.h"
#include "catalog/systemview.h"
#include "gateway/gatewayservice.h"
#include "gateway/rejection.h"
#include "http/socketoptions.h"
#include "http/webserver.h"
#include "platform/clientrequest.h"

#include <algorithm>
#include <memory>

namespace Basilbend
{

namespace
{

/// Half of the bound for withdrawn keys, so that one lost watch does not make the configuration too old.
constexpr int OperatorWatchDivisor = 2;
constexpr Milliseconds EndpointWatchSpan{5000};
/// Changes of endpoints are gathered for half of the time in which a leaving one must be left alone.
constexpr int EndpointGatherDivisor = 2;
constexpr Milliseconds HousekeepInterval{500};
/// Time from SIGTERM to the close of the listener: the platform asks once a second and counts two misses.
constexpr Milliseconds ListenTime{3200};
/// Room at the end of the grace period for the process to end by itself.
constexpr Milliseconds ExitMargin{700};
constexpr Milliseconds DrainCheckInterval{50};

ResultCode codeOfRefusal(int status)
{
    switch (status) {
    case 408:
        return ResultCode::RequestTimeout;
    case 413:
        return ResultCode::BodyTooLarge;
    case 431:
        return ResultCode::HeadersTooLarge;
    default:
        return ResultCode::MalformedRequest;
    }
}

/// The process of an entry host.
class Gateway
{
public:
    explicit Gateway(DaemonRuntime &runtime)
        : m_runtime(runtime)
        , m_view(
              runtime.store(), runtime.loop(), runtime.log(), ViewScope::Serving, runtime.settings().withdrawalBound / OperatorWatchDivisor, EndpointWatchSpan)
        , m_picker(runtime.settings().zone)
        , m_usage(runtime.settings().usageWindow)
        , m_publisher(runtime.store(), runtime.loop(), runtime.log(), runtime.settings().node + "-" + runtime.incarnation())
        , m_context{runtime.loop(),
                    runtime.log(),
                    runtime.metrics(),
                    runtime.client(),
                    runtime.store(),
                    m_view,
                    m_picker,
                    m_usage,
                    runtime.random(),
                    runtime.relay().hasPeers()}
        , m_service(m_context, freshnessOf(runtime.settings()))
        , m_clients(runtime.io(), runtime.settings().clients, clientHooks())
        , m_readiness(runtime.io(), runtime.settings().readiness, plainServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) {
                          exchange->respond(isReadinessRequest(exchange->request()) ? m_service.readiness() : ResponseMessage{404, {}, {}});
                      }))
        , m_hub(runtime.loop(), runtime.log())
        , m_processes(
              runtime.io(), runtime.settings().processes, plainServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) { serveProcess(exchange); }))
    {
        m_view.share(m_hub, [this] {
            const auto &settings = m_runtime.settings();
            return std::make_unique<FeedFollower>(m_runtime.client(), m_runtime.loop(), m_runtime.log(), otherPeers(settings), settings.node);
        });
        m_view.onEndpointGone = [this](const EndpointRecord &endpoint) {
            m_picker.remove(endpoint.id);
            m_runtime.client().forget(socketEndpoint(endpoint.address));
        };
        m_runtime.onStop = [this] { beginDrain(); };
        m_runtime.onSettingsChanged = [this] { m_service.setFreshness(freshnessOf(m_runtime.settings())); };
        m_runtime.onMetrics = [this] { setGauges(); };
        m_view.setEndpointGatherTime(m_runtime.settings().endpointLeaveBound / EndpointGatherDivisor);
        m_view.start();
        housekeep();
    }

private:
    static FreshnessRule freshnessOf(const DaemonSettings &settings)
    {
        FreshnessRule rule;
        rule.withdrawalBound = settings.withdrawalBound;
        return rule;
    }

    ServerHooks clientHooks()
    {
        ServerHooks hooks;
        hooks.onRequest = [this](const std::shared_ptr<ServerExchange> &exchange) { m_service.handle(exchange); };
        hooks.refusal = [this](int status) {
            m_runtime.metrics().count("basilbend_refused_messages_total", {{"status", std::to_string(status)}});
            m_runtime.log().warning("message_refused", {{"status", status}});
            return makeRejection(status, Error{codeOfRefusal(status), "the request can't be read"}, {});
        };
        hooks.limits = [this] { return m_service.limits(); };
        hooks.isDraining = [this] { return m_service.isDraining(); };
        return hooks;
    }

    /// A call of another process of the system.
    void serveProcess(const std::shared_ptr<ServerExchange> &exchange)
    {
        if (targetPath(exchange->request().target) == FeedHub::Path) {
            m_hub.serve(exchange);
        } else {
            m_runtime.relay().serve(exchange);
        }
    }

    void setGauges()
    {
        auto &metrics = m_runtime.metrics();
        metrics.setGauge("basilbend_ready", m_service.isReady() ? 1 : 0);
        metrics.setGauge("basilbend_client_connections", static_cast<double>(m_clients.sessionCount()));
        metrics.setGauge("basilbend_feed_followers", static_cast<double>(m_hub.followerCount()));
        metrics.setGauge("basilbend_endpoints", static_cast<double>(m_view.endpoints().size()));
    }

    void housekeep()
    {
        m_view.expireEndpoints();
        for (auto &window : m_usage.takeClosed(m_runtime.loop().now())) {
            m_publisher.publish(std::move(window));
        }
        noteReadiness();
        m_runtime.loop().runAfter(HousekeepInterval, [this] { housekeep(); });
    }

    void noteReadiness()
    {
        if (m_wasReady != m_service.isReady()) {
            m_wasReady = !m_wasReady;
            const auto asOf = m_view.configurationAsOf();
            m_runtime.log().warning("readiness_changed",
                                    {{"ready", m_wasReady}, {"configuration_age_ms", asOf ? m_runtime.loop().now() - *asOf : Milliseconds(-1)}});
        }
    }

    void beginDrain()
    {
        m_service.beginDrain();
        m_drainStartedAt = m_runtime.loop().now();
        m_runtime.loop().runAfter(ListenTime, [this] {
            m_clients.stopAccepting();
            m_clients.closeIdleSessions();
        });
        checkDrained();
    }

    void checkDrained()
    {
        const auto now = m_runtime.loop().now();
        const auto span = now - m_drainStartedAt;
        const bool isOver = span >= m_runtime.settings().gracePeriod - ExitMargin;
        if (span >= ListenTime && m_clients.busySessionCount() == 0 && !m_isFlushing) {
            m_isFlushing = true;
            m_clients.closeIdleSessions();
            for (auto &window : m_usage.takeAll()) {
                m_publisher.publish(std::move(window));
            }
        }
        if (isOver || (m_isFlushing && m_publisher.isIdle() && m_clients.busySessionCount() == 0)) {
            m_runtime.log().info("drained", {{"busy", m_clients.busySessionCount()}, {"after_ms", span}});
            m_runtime.finish();
            return;
        }
        m_runtime.loop().runAfter(DrainCheckInterval, [this] { checkDrained(); });
    }

    DaemonRuntime &m_runtime;
    SystemView m_view;
    EndpointPicker m_picker;
    UsageCounter m_usage;
    UsagePublisher m_publisher;
    GatewayContext m_context;
    GatewayService m_service;
    WebServer m_clients;
    WebServer m_readiness;
    FeedHub m_hub;
    WebServer m_processes;
    Timestamp m_drainStartedAt;
    bool m_wasReady = false;
    bool m_isFlushing = false;
};

}

void runGateway(DaemonRuntime &runtime)
{
    Gateway gateway(runtime);
    runtime.run();
}

}
