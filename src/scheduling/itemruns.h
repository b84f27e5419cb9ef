#pragma once

#include "base/eventloop.h"
#include "catalog/systemview.h"
#include "forwarding/requestlimiter.h"
#include "http/webclient.h"
#include "log/eventlog.h"
#include "net/metrics.h"
#include "scheduling/endpointhealth.h"
#include "scheduling/endpointtablebuilder.h"
#include "scheduling/runnercounts.h"
#include "scheduling/runningbatches.h"
#include "scheduling/runtracker.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Basilbend
{

/// Dependencies of ItemRuns. They live as long as the process.
struct ItemRunsContext {
    EventLoop loop;
    EventLog &log;
    Metrics &metrics;
    WebClient &client;
    SystemView &view;
    RequestLimiter &requestLimiter;
    RunningBatches &batches;
    EndpointHealth &health;
    RunTracker &tracker;
    RunnerCounts &counts;
};

struct ItemRunsHooks {
    EndpointTableHooks endpoints;
    /// Called when an endpoint has refused a run.
    std::function<void(const std::string &endpoint)> onRunRefused;
    /// Called when the text of an item is complete and its reward is due.
    std::function<void(const std::shared_ptr<OpenBatch> &batch, std::size_t item)> onRewardDue;
    /// Called when a run has ended, so that results of its batch may be due and a slot is free.
    std::function<void(const std::string &batch)> onRunEnded;
    /// Called when a run was cancelled, so that its item waits again.
    std::function<void()> onRunCancelled;
};

/// The runs of items at model endpoints: starts them, passes their events on to their batches, and cancels or moves them.
class ItemRuns
{
public:
    ItemRuns(ItemRunsContext context, ItemRunsHooks hooks);

    void start(RunningBatch &batch, std::size_t item, const EndpointRecord &endpoint);

    /// Cancels the run of an item, which then waits again. The reason is logged. Does nothing if the item does not run.
    void cancel(RunningBatch &batch, std::size_t item, const char *why);

    /// Cancels the runs whose endpoint has sent no event for too long.
    void cancelSilent(RunningBatch &batch);

    void move(RunningBatch &batch, const RunMove &move);

private:
    /// The batch, if the run is the current one of its item; otherwise null.
    RunningBatch *batchOfCurrentRun(const std::string &batch, std::size_t item, std::uint64_t run);
    ItemRunHooks itemRunHooks(const std::string &batch, std::size_t item, std::uint64_t run, const EndpointRecord &endpoint);
    bool acceptEvent(const std::string &batch, std::size_t item, std::uint64_t run, std::uint64_t id, std::string data, std::uint64_t version);
    void acceptEnd(const std::string &batch, std::size_t item, std::uint64_t run, RunEnd end, int status);
    /// Removes a run from its batch; its connection closes when the returned value is destroyed.
    std::optional<OpenRun> detach(RunningBatch &batch, std::size_t item);

    ItemRunsContext m_context;
    ItemRunsHooks m_hooks;
    std::uint64_t m_lastRunNumber = 0;
};

}
