#include "daemon/schedulerdaemon.h"

#include "billing/usageduty.h"
#include "catalog/systemview.h"
#include "election/leaderelection.h"
#include "http/socketoptions.h"
#include "http/webserver.h"
#include "platform/configurationcodec.h"
#include "platform/operatorkeys.h"
#include "scheduling/batchrunner.h"
#include "scheduling/startrule.h"
#include "weights/weightroller.h"

#include <algorithm>
#include <memory>
#include <set>

namespace Basilbend
{

namespace
{

constexpr Milliseconds OperatorWatchSpan{4000};
constexpr Milliseconds EndpointWatchSpan{5000};
constexpr Milliseconds EndpointGatherTime{200};
constexpr Milliseconds PollInterval{250};
/// While the lease is uncertain, running items go on, but for no longer than this are new ones started: another process
/// may lead by then.
constexpr Milliseconds UncertainRunTime{2500};
/// From SIGTERM to the end: time to end the lease.
constexpr Milliseconds StopTime{400};
constexpr Milliseconds RetireRetryPause{500};
/// Room above the turn time for the way of an order.
constexpr Milliseconds TurnMargin{500};

/// The process of a storage host.
class Scheduler
{
public:
    explicit Scheduler(DaemonRuntime &runtime)
        : m_runtime(runtime)
        , m_view(runtime.store(), runtime.loop(), runtime.log(), ViewScope::Control, OperatorWatchSpan, EndpointWatchSpan)
        , m_election(runtime.store(),
                     runtime.loop(),
                     runtime.log(),
                     runtime.random(),
                     electionSettings(runtime),
                     {[this](bool continued) { lead(continued); }, [this] { follow(); }})
        , m_runner(runtime.loop(),
                   runtime.log(),
                   runtime.metrics(),
                   runtime.client(),
                   runtime.store(),
                   m_view,
                   runtime.random(),
                   runtime.settings().zone,
                   runnerHooks())
        , m_weights(runtime.loop(), runtime.log(), runtime.metrics(), runtime.client(), m_view, runtime.settings().node, weightHooks())
        , m_usage(runtime.store(),
                  runtime.loop(),
                  runtime.log(),
                  runtime.metrics(),
                  runtime.client(),
                  {runtime.settings().node, runtime.settings().reports, runtime.settings().usageWindow, runtime.settings().usageDue},
                  {[this] { return m_election.mayAct(); }, [this] { return m_election.term(); }})
    {
        m_view.onConfigurationChanged = [this] { m_runner.requestRound(); };
        m_view.onEndpointsChanged = [this] {
            m_runner.requestRound();
            pollWeights();
        };
        m_view.onEndpointGone = [this](const EndpointRecord &endpoint) {
            m_runner.forgetEndpoint(endpoint.id);
            m_runtime.client().forget(socketEndpoint(endpoint.address));
        };
        m_view.onVersionPublished = [this] { pollWeights(); };
        m_view.onHostsToEmptyChanged = [this] { emptyHosts(); };
        if (!runtime.settings().processes.empty()) {
            m_processes = std::make_unique<WebServer>(runtime.io(),
                                                      runtime.settings().processes,
                                                      plainServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) { serveProcess(exchange); }));
        }
        m_runtime.onStop = [this] { stop(); };
        m_runtime.onMetrics = [this] { setGauges(); };
        m_election.start();
    }

private:
    static ElectionSettings electionSettings(const DaemonRuntime &runtime)
    {
        ElectionSettings settings;
        settings.node = runtime.settings().node;
        settings.incarnation = runtime.incarnation();
        settings.address = runtime.settings().processes;
        settings.rule.turnGuard = runtime.settings().leaderTurnTime + TurnMargin;
        return settings;
    }

    BatchRunnerHooks runnerHooks()
    {
        BatchRunnerHooks hooks;
        hooks.term = [this] { return m_election.term(); };
        hooks.isSoleLeader = [this] { return m_election.mayAct(); };
        hooks.mayStart = [this] { return mayStart(); };
        hooks.endpoints.versionAt = [this](const EndpointRecord &endpoint, const std::string &model) { return m_weights.versionAt(endpoint, model); };
        hooks.endpoints.isLoading = [this](const std::string &endpoint, const std::string &model) { return m_weights.isLoading(endpoint, model); };
        hooks.endpoints.unreportedVersion = [this](const std::string &endpoint, const std::string &model) {
            return m_weights.unreportedVersion(endpoint, model);
        };
        hooks.onRunRefused = [this](const std::string &endpoint) { m_weights.noteRefused(endpoint); };
        hooks.onDemandChanged = [this] { pollWeights(); };
        return hooks;
    }

    /// A call of a gateway.
    void serveProcess(const std::shared_ptr<ServerExchange> &exchange)
    {
        if (targetPath(exchange->request().target) == ResultServer::Path) {
            m_runner.serveResults(exchange);
        } else {
            exchange->respond({404, {}, {}});
        }
    }

    bool mayStart() const
    {
        const StartRule rule{m_runtime.settings().batchCancelBound};
        return m_isLeading && m_election.uncertainFor() < UncertainRunTime && rule.mayStart(m_runner.batchesConfirmedAt(), m_runtime.loop().now());
    }

    WeightRollerHooks weightHooks()
    {
        WeightRollerHooks hooks;
        hooks.mayAct = [this] { return m_election.mayAct(); };
        hooks.fencingToken = [this] { return m_election.term(); };
        hooks.loads = [this] { return m_runner.modelLoads(); };
        hooks.runningAt = [this](const std::string &endpoint) { return m_runner.runningAt(endpoint); };
        hooks.needsSingleVersion = [this](const std::string &model) { return needsSingleVersion(model); };
        hooks.onChanged = [this] { m_runner.requestRound(); };
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

    void lead(bool continued)
    {
        m_isLeading = true;
        if (!continued) {
            m_runner.deactivate();
            m_weights.stop();
        }
        if (!m_viewStarted) {
            m_viewStarted = true;
            m_view.setEndpointGatherTime(EndpointGatherTime);
            m_view.start();
        }
        m_runner.activate();
        m_usage.activate();
        emptyHosts();
        if (!m_polling) {
            m_polling = true;
            poll();
        }
    }

    void follow()
    {
        m_isLeading = false;
        m_runner.deactivate();
        m_weights.stop();
        m_usage.deactivate();
    }

    void poll()
    {
        if (m_isLeading) {
            m_view.expireEndpoints();
            pollWeights();
        }
        m_runtime.loop().runAfter(PollInterval, [this] { poll(); });
    }

    void pollWeights()
    {
        if (m_isLeading) {
            m_weights.poll();
        }
    }

    /// Hosts keep nothing that lasts, so one that does not lead is empty; a leader hands over first.
    void emptyHosts()
    {
        if (!m_isLeading || !m_election.mayAct()) {
            return;
        }
        for (const auto &[host, revision] : m_view.hostsToEmpty()) {
            if (m_emptied.count({host, revision}) > 0) {
                continue;
            }
            if (host == m_runtime.settings().node) {
                m_runtime.log().info("handing_over", {{"why", "host_to_empty"}});
                follow();
                m_election.resign();
                return;
            }
            m_emptied.insert({host, revision});
            reportEmpty(host, revision);
        }
    }

    void reportEmpty(const std::string &host, std::uint64_t revision)
    {
        const MetadataChange change{{{LeaderElection::holderKey(), m_election.term()}}, {{retireStatusKey(host), encodeRetireStatus(true), 0}}, {}};
        m_runtime.store().commit(change, [this, host, revision](const MetadataReply &reply) {
            m_runtime.log().info("host_reported_empty", {{"host", host}, {"store", metadataStatusName(reply.status)}});
            if (reply.status != MetadataStatus::Done) {
                m_emptied.erase({host, revision});
                m_runtime.loop().runAfter(RetireRetryPause, [this] { emptyHosts(); });
            }
        });
    }

    void setGauges()
    {
        auto &metrics = m_runtime.metrics();
        metrics.setGauge("basilbend_leader", m_election.mayAct() ? 1 : 0);
        metrics.setGauge("basilbend_open_batches", static_cast<double>(m_runner.openBatchCount()));
        metrics.setGauge("basilbend_endpoints", static_cast<double>(m_view.endpoints().size()));
    }

    void stop()
    {
        follow();
        m_election.resign();
        m_runtime.loop().runAfter(StopTime, [this] { m_runtime.finish(); });
    }

    DaemonRuntime &m_runtime;
    SystemView m_view;
    LeaderElection m_election;
    BatchRunner m_runner;
    WeightRoller m_weights;
    UsageDuty m_usage;
    /// Null: gateways read results from the store.
    std::unique_ptr<WebServer> m_processes;
    std::set<std::pair<std::string, std::uint64_t>> m_emptied;
    bool m_isLeading = false;
    bool m_viewStarted = false;
    bool m_polling = false;
};

}

void runScheduler(DaemonRuntime &runtime)
{
    Scheduler scheduler(runtime);
    runtime.run();
}

}
