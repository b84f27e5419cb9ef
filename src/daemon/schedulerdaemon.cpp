#include "daemon/schedulerdaemon.h"

#include "billing/usagewindowreporter.h"
#include "catalog/systemview.h"
#include "daemon/hostretirement.h"
#include "daemon/viewwatchspans.h"
#include "election/leaderelection.h"
#include "election/leaderprobe.h"
#include "http/socketoptions.h"
#include "http/webserver.h"
#include "platform/configurationcodec.h"
#include "platform/operatorkeys.h"
#include "scheduling/batchrunner.h"
#include "scheduling/sendshare.h"
#include "scheduling/startrule.h"
#include "weights/weightupdater.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace Basilbend
{

namespace
{

constexpr Milliseconds EndpointCoalescingDelay{200};
constexpr Milliseconds PollInterval{250};
/// While it is uncertain whether the lease still holds, new items are started for at most this long, because another process may
/// be the leader by then. Running items continue.
constexpr Milliseconds UncertainStartLimit{2500};
/// Time from SIGTERM to the end of the process, for the release of the lease.
constexpr Milliseconds LeaseReleaseTime{400};
constexpr Milliseconds RetireRetryPause{500};
/// Interval of the checks for a successor while the leader's own host is to be emptied.
constexpr Milliseconds SuccessorCheckInterval{1000};
/// Time after a hand-over that nobody followed before the next one, because each one interrupts the running items.
constexpr Milliseconds HandOverRetryPause{10000};
/// Margin above the leader turn time for the delivery of an order.
constexpr Milliseconds LeaderTurnMargin{500};

/// A scheduler, the process on a storage host.
class Scheduler
{
public:
    explicit Scheduler(DaemonRuntime &runtime)
        : m_runtime(runtime)
        , m_view(runtime.store(), runtime.loop(), runtime.log(), ViewScope::Control, viewWatchSpansFor(runtime.settings(), runtime.settings().evacuationBound))
        , m_leaderProbe(runtime.client(), runtime.loop())
        , m_election(runtime.store(),
                     runtime.loop(),
                     runtime.log(),
                     runtime.random(),
                     electionSettings(runtime),
                     {[this](bool continued) { becomeLeader(continued); },
                      [this] { becomeFollower(); },
                      [this](const std::string &address, std::function<void(bool)> callback) { m_leaderProbe.ask(address, std::move(callback)); },
                      [this] { retireHosts(); }})
        , m_batchRunner(runtime.loop(),
                        runtime.log(),
                        runtime.metrics(),
                        runtime.client(),
                        runtime.store(),
                        m_view,
                        runtime.random(),
                        runtime.settings().zone,
                        runtime.settings().warmupTolerance,
                        batchRunnerHooks())
        , m_weightUpdater(runtime.loop(), runtime.log(), runtime.metrics(), runtime.client(), m_view, runtime.settings().node, weightUpdaterHooks())
        , m_usageDuty(runtime.store(),
                      runtime.loop(),
                      runtime.log(),
                      runtime.metrics(),
                      runtime.client(),
                      {runtime.settings().node, runtime.settings().reportsAddress, runtime.settings().usageWindow, runtime.settings().usageReportDeadline},
                      {[this] { return m_election.mayAct(); }, [this] { return m_election.term(); }})
        , m_retirement(runtime.settings().node)
    {
        m_view.setRegions(runtime.settings().regionOfZone);
        m_view.onConfigurationChanged = [this] { m_batchRunner.requestRound(); };
        m_view.onEndpointsChanged = [this] {
            m_batchRunner.requestRound();
            startDueWeightOrders();
        };
        m_view.onEndpointGone = [this](const EndpointRecord &endpoint) {
            m_batchRunner.forgetEndpoint(endpoint.id);
            m_runtime.client().closeIdleConnections(parseSocketEndpoint(endpoint.address));
        };
        m_view.onVersionPublished = [this] { startDueWeightOrders(); };
        m_view.onHostsToEmptyChanged = [this] { retireHosts(); };
        if (!runtime.settings().internalAddress.empty()) {
            m_internalServer = std::make_unique<WebServer>(
                runtime.io(),
                runtime.settings().internalAddress,
                runtime.sharedServerHooks(defaultServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) { serveInternalRequest(exchange); })));
        }
        m_startedAt = m_runtime.loop().now();
        m_runtime.onStopRequested = [this] { stop(); };
        m_runtime.onMetricsRequested = [this] { setGauges(); };
        m_runtime.onLoopDelayMeasured = [this](const LoopDelay &delay) { logLoad(delay); };
        m_election.start();
    }

private:
    static ElectionSettings electionSettings(const DaemonRuntime &runtime)
    {
        ElectionSettings settings;
        settings.node = runtime.settings().node;
        settings.incarnation = runtime.incarnation();
        settings.address = runtime.settings().internalAddress;
        settings.rule.reelectionDelay = runtime.settings().leaderTurnTime + LeaderTurnMargin;
        return settings;
    }

    BatchRunnerHooks batchRunnerHooks()
    {
        BatchRunnerHooks hooks;
        hooks.term = [this] { return m_election.term(); };
        hooks.isSoleLeader = [this] { return m_election.mayAct(); };
        hooks.mayGrant = [this] { return m_isLeading && m_election.timeSinceLeaseExpiry() < UncertainStartLimit; };
        hooks.mayStart = [this] { return mayStart(); };
        hooks.sendShare = [this] {
            return SendShareRule{UncertainStartLimit}.shareOf({m_predecessorEndedAt, m_electedAt, m_election.leaseValidUntil(), m_isHandingOver},
                                                              m_runtime.loop().now());
        };
        hooks.endpoints.servedVersion = [this](const EndpointRecord &endpoint, const std::string &model) {
            return m_weightUpdater.servedVersion(endpoint, model);
        };
        hooks.endpoints.isLoading = [this](const std::string &endpoint, const std::string &model) { return m_weightUpdater.isLoading(endpoint, model); };
        hooks.endpoints.unreportedVersion = [this](const std::string &endpoint, const std::string &model) {
            return m_weightUpdater.unreportedVersion(endpoint, model);
        };
        hooks.onRunRefused = [this](const std::string &endpoint) { m_weightUpdater.recordWorkRefusal(endpoint); };
        hooks.onDemandChanged = [this] { startDueWeightOrders(); };
        return hooks;
    }

    /// Serves a request of a gateway.
    void serveInternalRequest(const std::shared_ptr<ServerExchange> &exchange)
    {
        if (targetPath(exchange->request().target) == ResultServer::Path) {
            m_batchRunner.serveResults(exchange);
        } else if (targetPath(exchange->request().target) == GrantServer::Path) {
            m_batchRunner.serveGrantRequest(exchange);
        } else if (targetPath(exchange->request().target) == LeaderProbe::Path) {
            LeaderProbe::answer(*exchange, m_election.wantsToContinue() && !m_isHandingOver);
        } else {
            exchange->respond({404, {}, {}});
        }
    }

    bool mayStart() const
    {
        const auto now = m_runtime.loop().now();
        const StartRule batchRule{m_runtime.settings().batchCancelBound};
        const StartRule evacuationRule{m_runtime.settings().evacuationBound};
        return m_isLeading && m_election.timeSinceLeaseExpiry() < UncertainStartLimit && batchRule.mayStart(m_batchRunner.batchesConfirmedAt(), now)
            && evacuationRule.mayStart(m_view.configurationVerifiedAt(), now);
    }

    WeightUpdaterHooks weightUpdaterHooks()
    {
        WeightUpdaterHooks hooks;
        hooks.maySendOrders = [this] { return m_election.mayAct(); };
        hooks.fencingToken = [this] { return m_election.term(); };
        hooks.workloads = [this] { return m_batchRunner.modelWorkloads(); };
        hooks.runningItemCount = [this](const std::string &endpoint) { return m_batchRunner.runningItemCount(endpoint); };
        hooks.needsSingleVersion = [this](const std::string &model) { return needsSingleVersion(model); };
        hooks.onEndpointChanged = [this] { m_batchRunner.requestRound(); };
        return hooks;
    }

    bool needsSingleVersion(const std::string &model) const
    {
        const auto &configuration = m_view.routes()->configuration();
        return std::any_of(configuration.routes.begin(), configuration.routes.end(), [this, &model](const RouteRule &route) {
            if (!route.singleVersion) {
                return false;
            }
            return std::any_of(route.shares.begin(), route.shares.end(), [this, &model](const TrafficShare &share) {
                const auto *service = m_view.routes()->serviceNamed(share.service);
                const bool hasEngine = service != nullptr && service->engine.has_value();
                return hasEngine && std::count(service->engine->models.begin(), service->engine->models.end(), model) > 0;
            });
        });
    }

    void becomeLeader(bool continued)
    {
        m_isLeading = true;
        if (!continued) {
            m_electedAt = m_runtime.loop().now();
            m_predecessorEndedAt = m_election.replacedEarlierIncarnation() ? m_startedAt : Timestamp();
            m_batchRunner.deactivate();
            m_weightUpdater.stop();
        }
        if (!m_isViewStarted) {
            m_isViewStarted = true;
            m_view.setEndpointCoalescingDelay(EndpointCoalescingDelay);
            m_view.start();
        }
        m_batchRunner.activate();
        m_usageDuty.activate();
        retireHosts();
        if (!m_isPolling) {
            m_isPolling = true;
            pollPeriodically();
        }
    }

    void becomeFollower()
    {
        m_isLeading = false;
        m_batchRunner.deactivate();
        m_weightUpdater.stop();
        m_usageDuty.deactivate();
    }

    void pollPeriodically()
    {
        if (m_isLeading) {
            m_view.removeExpiredEndpoints();
            startDueWeightOrders();
        }
        m_runtime.loop().runAfter(PollInterval, [this] { pollPeriodically(); });
    }

    void startDueWeightOrders()
    {
        if (m_isLeading) {
            m_weightUpdater.startDueOrders();
        }
    }

    /// Empties the hosts that the operator wants emptied, see HostRetirement.
    void retireHosts()
    {
        if (!m_isLeading || m_isHandingOver || !m_election.mayAct() || m_view.hostsToEmpty().empty()) {
            return;
        }
        const auto plan = m_retirement.plan(m_view.hostsToEmpty(), m_election.successorOffers());
        for (const auto &host : plan.emptyHosts) {
            reportHostEmpty(host);
        }
        if (!plan.ownHost) {
            return;
        }
        const bool mayHandOver = !m_handedOverAt || m_runtime.loop().now() - *m_handedOverAt >= HandOverRetryPause;
        if (plan.successor && mayHandOver) {
            handOverTo(*plan.successor);
            return;
        }
        if (plan.mustReportRunning) {
            reportHostRunning(*plan.ownHost);
        }
        m_election.requestSuccessor();
        checkForSuccessorLater();
    }

    void checkForSuccessorLater()
    {
        if (std::exchange(m_isSuccessorCheckSet, true)) {
            return;
        }
        m_runtime.loop().runAfter(SuccessorCheckInterval, [this] {
            m_isSuccessorCheckSet = false;
            retireHosts();
        });
    }

    void reportHostEmpty(const HostToEmpty &host)
    {
        m_retirement.markReported(host);
        reportHost(host, true, [this, host] { m_retirement.unmarkReported(host); });
    }

    void reportHostRunning(const HostToEmpty &host)
    {
        m_retirement.markReportedRunning(host);
        reportHost(host, false, [this, host] { m_retirement.unmarkReportedRunning(host); });
    }

    void reportHost(const HostToEmpty &host, bool isEmpty, std::function<void()> onFailed)
    {
        const MetadataChange change{{{LeaderElection::holderKey(), m_election.term()}}, {{retireStatusKey(host.first), encodeRetireStatus(isEmpty), 0}}, {}};
        m_runtime.store().commit(change, [this, host, isEmpty, onFailed = std::move(onFailed)](const MetadataReply &reply) {
            m_runtime.log().info("host_reported", {{"host", host.first}, {"empty", isEmpty}, {"store", metadataStatusName(reply.status)}});
            if (reply.status != MetadataStatus::Done) {
                onFailed();
                m_runtime.loop().runAfter(RetireRetryPause, [this] { retireHosts(); });
            }
        });
    }

    void setGauges()
    {
        auto &metrics = m_runtime.metrics();
        metrics.setGauge("basilbend_leader", m_election.mayAct() ? 1 : 0);
        metrics.setGauge("basilbend_open_batches", static_cast<double>(m_batchRunner.openBatchCount()));
        metrics.setGauge("basilbend_endpoints", static_cast<double>(m_view.endpoints().size()));
    }

    /// Logs what this process has done since the last line, so that a lack of processor time can be told from other delays.
    void logLoad(const LoopDelay &delay)
    {
        const auto counts = m_batchRunner.counts();
        const auto calls = m_runtime.client().counts();
        if (m_isLeading) {
            m_runtime.log().info("leader_load",
                                 {{"delay_ms", delay.longest},
                                  {"batches", m_batchRunner.openBatchCount()},
                                  {"runs", m_batchRunner.openRunCount()},
                                  {"started", counts.startedRuns - m_loggedCounts.startedRuns},
                                  {"cancelled", counts.cancelledRuns - m_loggedCounts.cancelledRuns},
                                  {"events", counts.events - m_loggedCounts.events},
                                  {"rounds", counts.rounds - m_loggedCounts.rounds},
                                  {"examined", counts.examinedItems - m_loggedCounts.examinedItems},
                                  {"calls", calls.calls - m_loggedCalls.calls},
                                  {"connects", calls.connects - m_loggedCalls.connects}});
        }
        m_loggedCounts = counts;
        m_loggedCalls = calls;
    }

    /// Ends the leadership for good.
    void stop()
    {
        m_isStopping = true;
        prepareHandOver("stop", [this] {
            becomeFollower();
            m_election.resign();
            m_runtime.loop().runAfter(LeaseReleaseTime, [this] { m_runtime.quit(); });
        });
    }

    /// Passes the leadership to the process, which has offered to lead. The running items are interrupted only once the metadata store
    /// has confirmed the choice, and this process leads again if nobody follows.
    void handOverTo(const std::string &successor)
    {
        const auto term = m_election.term();
        prepareHandOver("host_to_empty", [this, successor, term] {
            if (m_isStopping || m_election.term() != term) {
                endHandOver();
                return;
            }
            m_election.nameSuccessor(successor, [this](bool isNamed) {
                if (isNamed && !m_isStopping) {
                    m_handedOverAt = m_runtime.loop().now();
                    becomeFollower();
                    m_election.yield();
                }
                endHandOver();
            });
        });
    }

    void endHandOver()
    {
        m_isHandingOver = m_isStopping;
        checkForSuccessorLater();
    }

    /// Calls step when this process may end its leadership. If endpoints may need a warm-up, it first keeps to its share of their
    /// requests for one window, so that the successor may send the rest at once.
    void prepareHandOver(const char *why, std::function<void()> step)
    {
        const bool mustPrepare = m_isLeading && !m_isHandingOver && hasWarmupRates();
        m_isHandingOver = true;
        m_runtime.log().info("handing_over", {{"why", why}, {"prepares", mustPrepare}});
        m_runtime.loop().runAfter(mustPrepare ? RequestLimiter::Window : Milliseconds(0), std::move(step));
    }

    bool hasWarmupRates() const
    {
        if (m_view.routes() == nullptr) {
            return false;
        }
        const auto &services = m_view.routes()->configuration().services;
        return std::any_of(services.begin(), services.end(), [](const ServiceSpec &service) { return service.warmupRequestsPerSecond > 0; });
    }

    DaemonRuntime &m_runtime;
    SystemView m_view;
    LeaderProbe m_leaderProbe;
    LeaderElection m_election;
    BatchRunner m_batchRunner;
    WeightUpdater m_weightUpdater;
    UsageWindowReporter m_usageDuty;
    /// Null when no address is set; gateways then read results from the store.
    std::unique_ptr<WebServer> m_internalServer;
    HostRetirement m_retirement;
    /// Last time at which this process gave up the leadership for another one.
    std::optional<Timestamp> m_handedOverAt;
    Timestamp m_startedAt;
    Timestamp m_electedAt;
    Timestamp m_predecessorEndedAt;
    RunnerCounts m_loggedCounts;
    WebClientCounts m_loggedCalls;
    bool m_isHandingOver = false;
    bool m_isStopping = false;
    bool m_isSuccessorCheckSet = false;
    bool m_isLeading = false;
    bool m_isViewStarted = false;
    bool m_isPolling = false;
};

}

void runScheduler(DaemonRuntime &runtime)
{
    Scheduler scheduler(runtime);
    runtime.run();
}

}
