#pragma once

#include "base/eventloop.h"
#include "catalog/systemview.h"
#include "http/webclient.h"
#include "log/eventlog.h"
#include "metadata/groupingstore.h"
#include "net/metrics.h"
#include "scheduling/accountreport.h"
#include "scheduling/batchdemand.h"
#include "scheduling/batchwatch.h"
#include "scheduling/endpointhealth.h"
#include "scheduling/endpointtablebuilder.h"
#include "scheduling/grantserver.h"
#include "scheduling/itemruns.h"
#include "scheduling/resultserver.h"
#include "scheduling/resumabletextcache.h"
#include "scheduling/rewardcalls.h"
#include "scheduling/runnercounts.h"
#include "scheduling/runningbatches.h"
#include "scheduling/runtracker.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

struct BatchRunnerHooks {
    /// Whether it is certain that no other process leads.
    std::function<bool()> isSoleLeader;
    /// Fencing token of the leadership; zero if this process does not lead.
    std::function<std::uint64_t()> term;
    /// Whether requests to limited endpoints may be granted to gateways.
    std::function<bool()> mayGrant;
    /// Whether new runs may be started. Checked for each batch of a round, because a round may take long.
    std::function<bool()> mayStart;
    /// Fraction of the requests to endpoints that this process may send or grant; see SendShareRule.
    std::function<double()> sendShare;
    EndpointTableHooks endpoints;
    /// Called when an endpoint has refused a run.
    std::function<void(const std::string &endpoint)> onRunRefused;
    /// Called when batches or waiting items have come or gone, which may change the required weights.
    std::function<void()> onDemandChanged;
};

/// Runs all open batches while this process leads: loads them from the store, assigns items to endpoints, resumes
/// interrupted runs and lists the results.
class BatchRunner
{
public:
    /// zone: the availability zone of this process.
    BatchRunner(EventLoop loop,
                EventLog &log,
                Metrics &metrics,
                WebClient &client,
                MetadataStore &store,
                SystemView &view,
                Random &random,
                std::string zone,
                WarmupTolerance warmupTolerance,
                BatchRunnerHooks hooks);

    /// Starts to run the batches that the store holds.
    void activate();

    /// Cancels all runs and discards the state of all batches.
    void deactivate();

    /// Requests a scheduling round after a change of endpoints, weights or configuration.
    void requestRound();

    /// Handles a gateway's request for results.
    void serveResults(const std::shared_ptr<ServerExchange> &exchange)
    {
        m_resultServer.serve(exchange);
    }

    /// Handles a gateway's request for a request to a limited endpoint.
    void serveGrantRequest(const std::shared_ptr<ServerExchange> &exchange)
    {
        m_grantServer.serve(exchange);
    }

    /// Discards the recorded performance of an endpoint that is gone or about to leave; its runs continue until the
    /// endpoint ends them.
    void forgetEndpoint(const std::string &id);

    /// Workload of each model, by model name. The work per step and the shortage of slots are estimated from recent batches,
    /// open or closed; the required version and whether items wait come from the open batches.
    std::map<std::string, ModelWorkload> modelWorkloads() const;

    int runningItemCount(const std::string &endpoint) const
    {
        return m_runTracker.runCount(endpoint);
    }

    /// Time at which the known state of the batches was last confirmed to be current; empty before the first confirmation.
    std::optional<Timestamp> batchesConfirmedAt() const
    {
        return m_batchWatch.lastConfirmedAt();
    }

    std::size_t openBatchCount() const
    {
        return m_batches.size();
    }

    std::size_t openRunCount() const
    {
        return m_batches.openRunCount();
    }

    const RunnerCounts &counts() const
    {
        return m_counts;
    }

private:
    void open(const std::string &id, LoadedBatch loaded);
    void close(const std::string &id);
    void reload(const std::string &id);
    /// Frees what a batch needs no more once all of its results are listed. It stays open until its client ends it.
    void releaseListed(const std::string &id, OpenBatch &batch);
    void recordDuration(const OpenBatch &batch);
    /// Time after its submission at which the results of a batch are due; zero if there is none.
    Milliseconds dueTimeOf(const OpenBatch &batch) const;
    /// Takes over into the account of the batch that results are listed, and reports the account once the trainer has what it waits for.
    void recordListed(const std::string &id, const std::vector<ItemResult> &results);

    void scheduleRound();
    void runRound();
    /// Starts waiting items of the batch. table: the endpoints of this round, built when the first batch needs it.
    void scheduleBatch(RunningBatch &batch, std::optional<EndpointTable> &table);
    void recordWaiting(RunningBatch &batch, std::size_t waiting, const std::vector<PlacementEndpoint> &endpoints);

    ItemRunsHooks itemRunsHooks();
    RewardHooks rewardHooks();
    ResultServerHooks resultHooks();
    ResultWriter::Hooks writerHooks(const std::string &batch);
    /// Writes pending results of the batch if they are due, and schedules a round.
    void pollResults(const std::string &batch);

    void tick();
    void tickBatch(RunningBatch &batch);
    /// Moves long samples to faster endpoints once no item waits for a slot.
    void moveToFasterEndpoints();

    EventLoop m_loop;
    EventLog &m_log;
    AccountReport m_accountReport;
    /// Combines the result and progress writes of all batches.
    GroupingStore m_groupedStore;
    SystemView &m_view;
    BatchRunnerHooks m_hooks;
    BatchWatch m_batchWatch;
    RunningBatches m_batches;
    ResumableTextCache m_resumableTexts;
    RunTracker m_runTracker;
    BatchDemand m_demand;
    EndpointHealth m_health;
    RequestLimiter m_requestLimiter;
    GrantServer m_grantServer;
    RunnerCounts m_counts;
    ItemRuns m_itemRuns;
    EndpointTableBuilder m_tableBuilder;
    RewardCalls m_rewardCalls;
    ResultServer m_resultServer;
    bool m_active = false;
    bool m_isRoundScheduled = false;
    Timestamp m_lastRoundStartedAt;
    std::uint64_t m_activation = 0;
};

}
