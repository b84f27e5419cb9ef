#include "daemon/gatewaydaemon.h"

#include "billing/usagepublisher.h"
#include "catalog/systemview.h"
#include "daemon/viewwatchspans.h"
#include "gateway/gatewayservice.h"
#include "gateway/rejection.h"
#include "http/connectionbudget.h"
#include "http/socketoptions.h"
#include "http/webserver.h"
#include "platform/clientrequest.h"

#include <algorithm>
#include <memory>

namespace Basilbend
{

namespace
{

/// Endpoint changes are coalesced for half of the time after which a leaving endpoint must not get requests.
constexpr int EndpointCoalescingDivisor = 2;
constexpr Milliseconds HousekeepingInterval{500};
/// Time from SIGTERM until the listener closes. The platform checks readiness once a second and counts two failures.
constexpr Milliseconds ListenerCloseDelay{3200};
/// Time from SIGTERM after which requests are accepted only if they end in time. Clients that were told of the stop before have had time to
/// move on.
constexpr Milliseconds LateRequestDelay{2800};
/// Part of the grace period that is reserved for the process to exit by itself.
constexpr Milliseconds ExitMargin{700};
/// Time before the exit in which the responses to requests that are still open are sent.
constexpr Milliseconds FinalResponseTime{200};
constexpr Milliseconds DrainCheckInterval{50};

/// Retry-After of a request that is refused for lack of memory for connections; the client may return at another gateway.
constexpr Milliseconds OverloadRetryAfter{500};

const char *rejectionMessage(int status)
{
    switch (status) {
    case 500:
        return "the request could not be handled";
    case 503:
        return "the connections of this process hold too much memory";
    default:
        return "the request can't be read";
    }
}

ResultCode resultCodeForStatus(int status)
{
    switch (status) {
    case 408:
        return ResultCode::RequestTimeout;
    case 413:
        return ResultCode::BodyTooLarge;
    case 431:
        return ResultCode::HeadersTooLarge;
    case 500:
        return ResultCode::InternalError;
    case 503:
        return ResultCode::Overloaded;
    default:
        return ResultCode::MalformedRequest;
    }
}

/// A gateway, the process on an entry host that clients connect to.
class Gateway
{
public:
    explicit Gateway(DaemonRuntime &runtime)
        : m_runtime(runtime)
        , m_view(runtime.store(), runtime.loop(), runtime.log(), ViewScope::Serving, viewWatchSpansFor(runtime.settings(), runtime.settings().withdrawalBound))
        , m_picker(runtime.settings().zone)
        , m_usageCounter(runtime.settings().usageWindow)
        , m_usagePublisher(runtime.store(), runtime.loop(), runtime.log(), runtime.settings().node + "-" + runtime.incarnation())
        , m_context{runtime.loop(),
                    runtime.log(),
                    runtime.metrics(),
                    runtime.client(),
                    runtime.store(),
                    m_view,
                    m_picker,
                    m_usageCounter,
                    runtime.random(),
                    runtime.relay().hasPeers(),
                    AnswerBudget(),
                    RequestLimiter(runtime.settings().warmupTolerance, 1.0 / runtime.settings().gatewayCount)}
        , m_service(m_context, freshnessRuleFor(runtime.settings()))
        , m_clientServer(runtime.io(), runtime.settings().clientListenAddress, runtime.sharedServerHooks(clientHooks()))
        , m_readinessServer(runtime.io(),
                            runtime.settings().readinessListenAddress,
                            runtime.sharedServerHooks(defaultServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) {
                                exchange->respond(isReadinessRequest(exchange->request()) ? m_service.readiness() : ResponseMessage{404, {}, {}});
                            })))
        , m_feedHub(runtime.loop(), runtime.log())
        , m_internalServer(
              runtime.io(),
              runtime.settings().internalAddress,
              runtime.sharedServerHooks(defaultServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) { serveInternalRequest(exchange); })))
    {
        m_context.submissionBudget = SubmissionBudget(SubmissionBudget::limitFor(availableMemoryBytes()));
        m_view.shareFeeds(m_feedHub, [this] { return makeFollower(); });
        m_context.crashes.ledger().feed().share(m_feedHub, makeFollower());
        m_view.setRegions(runtime.settings().regionOfZone);
        m_view.onEndpointGone = [this](const EndpointRecord &endpoint) {
            m_picker.remove(endpoint.id);
            m_runtime.client().closeIdleConnections(parseSocketEndpoint(endpoint.address));
        };
        m_view.onEndpointsChanged = [this] { m_context.origins.update(); };
        m_view.onConfigurationChanged = [this] { m_context.origins.update(); };
        m_runtime.onStopRequested = [this] { beginDrain(); };
        m_runtime.onSettingsChanged = [this] {
            m_service.setFreshness(freshnessRuleFor(m_runtime.settings()));
            m_view.setRegions(m_runtime.settings().regionOfZone);
        };
        m_runtime.onMetricsRequested = [this] { setGauges(); };
        m_view.setEndpointCoalescingDelay(m_runtime.settings().endpointLeaveBound / EndpointCoalescingDivisor);
        m_view.start();
        m_context.crashes.start();
        runHousekeeping();
    }

private:
    std::unique_ptr<FeedFollower> makeFollower()
    {
        const auto &settings = m_runtime.settings();
        return std::make_unique<FeedFollower>(m_runtime.client(), m_runtime.loop(), m_runtime.log(), otherPeers(settings), settings.node);
    }

    static FreshnessRule freshnessRuleFor(const DaemonSettings &settings)
    {
        FreshnessRule rule;
        rule.configurationBound = settings.configurationBound;
        rule.withdrawalBound = settings.withdrawalBound;
        return rule;
    }

    ServerHooks clientHooks()
    {
        ServerHooks hooks;
        hooks.onRequest = [this](const std::shared_ptr<ServerExchange> &exchange) { m_service.handle(exchange); };
        hooks.errorResponse = [this](int status) {
            m_runtime.metrics().count("basilbend_refused_messages_total", {{"status", std::to_string(status)}});
            m_runtime.log().warning("message_refused", {{"status", status}});
            const auto retryAfter = status == 503 ? OverloadRetryAfter : Milliseconds(0);
            const auto execution = status == 500 ? Execution::Unknown : Execution::NotRun;
            return makeRejection(status, Error{resultCodeForStatus(status), rejectionMessage(status), execution, retryAfter}, {});
        };
        hooks.limits = [this] { return m_service.limits(); };
        hooks.isDraining = [this] { return m_service.isDraining(); };
        return hooks;
    }

    /// Serves a request of another process of the system: feed subscription or relayed store call.
    void serveInternalRequest(const std::shared_ptr<ServerExchange> &exchange)
    {
        if (targetPath(exchange->request().target) == FeedHub::Path) {
            m_feedHub.serve(exchange);
        } else {
            m_runtime.relay().serve(exchange);
        }
    }

    void setGauges()
    {
        auto &metrics = m_runtime.metrics();
        metrics.setGauge("basilbend_ready", m_service.isReady() ? 1 : 0);
        metrics.setGauge("basilbend_client_connections", static_cast<double>(m_clientServer.sessionCount()));
        metrics.setGauge("basilbend_feed_followers", static_cast<double>(m_feedHub.followerCount()));
        metrics.setGauge("basilbend_configuration_version", static_cast<double>(m_view.routes() == nullptr ? 0 : m_view.routes()->version()));
        if (const auto verifiedAt = m_view.configurationVerifiedAt()) {
            metrics.setGauge("basilbend_configuration_age_seconds", static_cast<double>((m_runtime.loop().now() - *verifiedAt).count()) / 1000);
        }
        metrics.setGauge("basilbend_endpoints", static_cast<double>(m_view.endpoints().size()));
    }

    void runHousekeeping()
    {
        m_view.removeExpiredEndpoints();
        m_context.origins.update();
        for (auto &window : m_usageCounter.takeClosedWindows(m_runtime.loop().now())) {
            m_usagePublisher.publish(std::move(window));
        }
        logReadinessChange();
        m_runtime.loop().runAfter(HousekeepingInterval, [this] { runHousekeeping(); });
    }

    void logReadinessChange()
    {
        if (m_wasReady != m_service.isReady()) {
            m_wasReady = !m_wasReady;
            const auto configurationTime = m_view.configurationVerifiedAt();
            m_runtime.log().warning(
                "readiness_changed",
                {{"ready", m_wasReady}, {"configuration_age_ms", configurationTime ? m_runtime.loop().now() - *configurationTime : Milliseconds(-1)}});
        }
    }

    void beginDrain()
    {
        m_drainStartedAt = m_runtime.loop().now();
        m_service.beginDrain(m_drainStartedAt + LateRequestDelay, m_drainStartedAt + m_runtime.settings().gracePeriod - ExitMargin - FinalResponseTime);
        m_runtime.loop().runAfter(ListenerCloseDelay, [this] {
            m_clientServer.stopAccepting();
            m_clientServer.closeIdleSessions();
        });
        checkDrained();
    }

    void checkDrained()
    {
        const auto now = m_runtime.loop().now();
        const auto elapsed = now - m_drainStartedAt;
        const auto exitAfter = m_runtime.settings().gracePeriod - ExitMargin;
        const bool isGracePeriodOver = elapsed >= exitAfter;
        if (elapsed >= exitAfter - FinalResponseTime) {
            m_service.endOpenCalls();
        }
        if (elapsed >= ListenerCloseDelay && m_clientServer.busySessionCount() == 0 && !m_isFlushing) {
            m_isFlushing = true;
            m_clientServer.closeIdleSessions();
            for (auto &window : m_usageCounter.closeAllWindows()) {
                m_usagePublisher.publish(std::move(window));
            }
        }
        if (isGracePeriodOver || (m_isFlushing && m_usagePublisher.isIdle() && m_clientServer.busySessionCount() == 0)) {
            m_runtime.log().info("drained", {{"busy", m_clientServer.busySessionCount()}, {"after_ms", elapsed}});
            m_runtime.quit();
            return;
        }
        m_runtime.loop().runAfter(DrainCheckInterval, [this] { checkDrained(); });
    }

    DaemonRuntime &m_runtime;
    SystemView m_view;
    EndpointPicker m_picker;
    UsageCounter m_usageCounter;
    UsagePublisher m_usagePublisher;
    GatewayContext m_context;
    GatewayService m_service;
    WebServer m_clientServer;
    WebServer m_readinessServer;
    FeedHub m_feedHub;
    WebServer m_internalServer;
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
