#include "scheduling/batchrunner.h"

#include "http/connectionbudget.h"
#include "scheduling/batchroute.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr Milliseconds TickInterval{100};
/// Maximum number of runs moved to faster endpoints per tick.
constexpr std::size_t MaxMovesPerTick = 12;
/// Minimum time between two scheduling rounds. Under load many runs end in this time, and one round handles them all.
constexpr Milliseconds MinRoundInterval{10};

/// What keeps the waiting items of a batch from running: most endpoints that could serve it are full, or most have older weights.
ItemActivity waitReasonOf(const std::vector<PlacementEndpoint> &endpoints, std::uint64_t minimumVersion)
{
    const auto obstacles = countObstacles(endpoints, minimumVersion);
    return obstacles.outdated > obstacles.full ? ItemActivity::WaitingForWeights : ItemActivity::WaitingForSlot;
}

}

BatchRunner::BatchRunner(EventLoop loop,
                         EventLog &log,
                         Metrics &metrics,
                         WebClient &client,
                         MetadataStore &store,
                         SystemView &view,
                         Random &random,
                         std::string zone,
                         WarmupTolerance warmupTolerance,
                         BatchRunnerHooks hooks)
    : m_loop(std::move(loop))
    , m_log(log)
    , m_accountReport(log, metrics)
    , m_groupedStore(store, m_loop)
    , m_view(view)
    , m_hooks(std::move(hooks))
    , m_batchWatch(
          store,
          m_loop,
          log,
          BatchAdmission(BatchAdmission::limitFor(availableMemoryBytes())),
          {m_hooks.term, [this](const std::string &id, LoadedBatch loaded) { open(id, std::move(loaded)); }, [this](const std::string &id) { close(id); }})
    , m_requestLimiter(warmupTolerance)
    , m_grantServer(m_loop, metrics, m_requestLimiter, {m_hooks.mayGrant, m_hooks.sendShare})
    , m_itemRuns({m_loop, log, metrics, client, view, m_requestLimiter, m_batches, m_health, m_runTracker, m_counts}, itemRunsHooks())
    , m_tableBuilder(m_view, m_health, m_runTracker, m_requestLimiter, m_hooks.endpoints)
    , m_rewardCalls({m_loop, log, metrics, client, view, random, m_requestLimiter, std::move(zone)}, rewardHooks())
    , m_resultServer(m_loop, resultHooks())
{
}

ResultServerHooks BatchRunner::resultHooks()
{
    ResultServerHooks hooks;
    hooks.isLeading = [this] { return m_active; };
    hooks.knowsAllListed = [this](const std::string &id) {
        const auto *batch = m_batches.find(id);
        return m_hooks.isSoleLeader() && batch != nullptr && !batch->writer->hasUnconfirmedWrite();
    };
    return hooks;
}

ResultWriter::Hooks BatchRunner::writerHooks(const std::string &id)
{
    ResultWriter::Hooks hooks;
    hooks.term = m_hooks.term;
    hooks.onListedElsewhere = [this, id] { reload(id); };
    hooks.onListed = [this, id](const std::vector<ItemResult> &results) {
        m_resultServer.addListed(id, results);
        recordListed(id, results);
    };
    return hooks;
}

RewardHooks BatchRunner::rewardHooks()
{
    RewardHooks hooks;
    hooks.onScore = [this](const std::string &id, std::size_t item, std::string score) {
        if (auto *batch = m_batches.find(id)) {
            batch->state->acceptScore(item, std::move(score));
            batch->account.enter(item, ItemActivity::Listing, m_loop.now());
            pollResults(id);
        }
    };
    hooks.onServerError = [this](const std::string &id, std::size_t item, int attempts) {
        if (auto *batch = m_batches.find(id)) {
            batch->state->recordRewardError(item, attempts);
            pollResults(id);
        }
    };
    hooks.onRetryDue = [this] { scheduleRound(); };
    return hooks;
}

ItemRunsHooks BatchRunner::itemRunsHooks()
{
    ItemRunsHooks hooks;
    hooks.endpoints = m_hooks.endpoints;
    hooks.onRunRefused = m_hooks.onRunRefused;
    hooks.onRewardDue = [this](const std::shared_ptr<OpenBatch> &batch, std::size_t item) { m_rewardCalls.add(batch, item); };
    hooks.onRunEnded = [this](const std::string &id) { pollResults(id); };
    hooks.onRunCancelled = [this] { scheduleRound(); };
    return hooks;
}

void BatchRunner::pollResults(const std::string &id)
{
    if (auto *batch = m_batches.find(id)) {
        batch->writer->poll();
    }
    scheduleRound();
}

void BatchRunner::activate()
{
    if (m_active) {
        return;
    }
    m_active = true;
    ++m_activation;
    m_batchWatch.start();
    tick();
}

void BatchRunner::deactivate()
{
    if (!m_active) {
        return;
    }
    m_active = false;
    ++m_activation;
    m_batchWatch.stop();
    for (auto *batch : m_batches.byAge()) {
        batch->writer->stop();
    }
    m_batches.clear();
    m_rewardCalls.clear();
    m_resultServer.clear();
    m_resumableTexts.clear();
    m_runTracker.clear();
}

void BatchRunner::open(const std::string &id, LoadedBatch loaded)
{
    auto batch = std::make_unique<RunningBatch>(m_log);
    batch->state = std::move(loaded.batch);
    batch->openedAt = m_loop.now();
    const auto *route = routeOf(m_view, *batch->state);
    if (route != nullptr) {
        auto texts = m_resumableTexts.all();
        std::move(loaded.progress.begin(), loaded.progress.end(), std::back_inserter(texts));
        batch->state->restoreTexts(texts, rulesOf(*route));
    }
    for (const auto &invalid : batch->state->terminateInvalidItems()) {
        m_log.warning("item_invalid", {{"batch", id}, {"item", batch->state->item(invalid.index).id}, {"reason", invalid.reason}});
    }
    batch->account = BatchAccount(batch->state->submission().items.size(), batch->openedAt);
    for (const auto &listed : batch->state->listed()) {
        if (const auto item = batch->state->indexOf(listed)) {
            batch->account.finish(*item, batch->openedAt);
        }
    }
    batch->writer = std::make_shared<ResultWriter>(m_groupedStore, m_loop, m_log, batch->state, writerHooks(id));
    batch->progressWriter = std::make_shared<ProgressWriter>(m_groupedStore, m_loop, m_log, batch->state, m_hooks.term);
    m_log.info("batch_opened",
               {{"batch", id},
                {"items", batch->state->index().itemCount},
                {"listed", batch->state->listedCount()},
                {"held_bytes", m_batchWatch.admission().heldBytes()},
                {"waiting_batches", m_batchWatch.admission().waitingCount()},
                {"minimum_version", batch->state->submission().minimumVersion},
                {"desired_groups", batch->state->submission().desiredGroups},
                {"age_ms", m_loop.now().milliseconds() - batch->state->index().submittedAtMs}});
    for (std::size_t i = 0; i < batch->state->submission().items.size(); ++i) {
        if (batch->state->progress(i).phase == ItemPhase::Scoring) {
            m_rewardCalls.add(batch->state, i);
        }
    }
    m_resultServer.open(batch->state->index(), batch->state->listedCount());
    m_demand.recordBatch(batch->state->submission());
    if (batch->state->isListed()) {
        releaseListed(id, *batch->state);
    }
    m_batches.add(id, std::move(batch));
    m_hooks.onDemandChanged();
    scheduleRound();
}

void BatchRunner::releaseListed(const std::string &id, OpenBatch &batch)
{
    m_rewardCalls.drop(id);
    batch.freeRequests();
    m_batchWatch.release(id);
}

void BatchRunner::recordDuration(const OpenBatch &batch)
{
    const auto now = m_loop.now();
    if (const auto *route = routeOf(m_view, batch)) {
        m_demand.recordDuration(batch.submission().model, now - Timestamp(batch.index().submittedAtMs), route->resultDeadline, now);
    }
}

void BatchRunner::recordListed(const std::string &id, const std::vector<ItemResult> &results)
{
    auto *batch = m_batches.find(id);
    if (batch == nullptr || results.empty()) {
        return;
    }
    std::optional<std::size_t> last;
    for (const auto &result : results) {
        if (const auto item = batch->state->indexOf(result.id)) {
            batch->account.finish(*item, m_loop.now());
            last = item;
        }
    }
    if (batch->state->isListed()) {
        releaseListed(id, *batch->state);
    }
    if (last && !batch->isAccountReported && batch->state->areWantedGroupsListed()) {
        batch->isAccountReported = true;
        m_accountReport.reportReady(*batch->state, batch->account, *last, dueTimeOf(*batch->state), m_loop.now());
    }
}

Milliseconds BatchRunner::dueTimeOf(const OpenBatch &batch) const
{
    const auto *route = routeOf(m_view, batch);
    return route == nullptr ? Milliseconds(0) : route->resultDeadline;
}

void BatchRunner::close(const std::string &id)
{
    const auto batch = m_batches.take(id);
    if (batch == nullptr) {
        return;
    }
    if (!batch->isAccountReported) {
        m_accountReport.reportUnfinished(*batch->state, batch->account, dueTimeOf(*batch->state), m_loop.now());
    }
    m_rewardCalls.drop(id);
    m_resultServer.close(id);
    batch->writer->stop();
    m_resumableTexts.add(batch->state->resumableTexts());
    recordDuration(*batch->state);
    for (const auto &[item, openRun] : batch->openRuns) {
        m_runTracker.removeRun(openRun.endpoint, openRun.number);
    }
    m_log.info("batch_closed",
               {{"batch", id}, {"listed", batch->state->listedCount()}, {"of", batch->state->index().itemCount}, {"cancelled", batch->openRuns.size()}});
    m_hooks.onDemandChanged();
    scheduleRound();
}

void BatchRunner::reload(const std::string &id)
{
    auto *batch = m_batches.find(id);
    if (batch == nullptr) {
        return;
    }
    const auto index = batch->state->index();
    close(id);
    m_batchWatch.reload(index);
}

std::map<std::string, ModelWorkload> BatchRunner::modelWorkloads() const
{
    auto loads = m_demand.loads(m_loop.now());
    for (const auto *batch : m_batches.byAge()) {
        const auto &submission = batch->state->submission();
        auto &load = loads[submission.model];
        load.requiredVersion = std::max(load.requiredVersion, submission.minimumVersion);
        load.hasWaitingItems = load.hasWaitingItems || batch->lastWaitingCount > 0;
    }
    return loads;
}

void BatchRunner::requestRound()
{
    if (m_active) {
        scheduleRound();
    }
}

void BatchRunner::forgetEndpoint(const std::string &id)
{
    m_rewardCalls.forgetEndpoint(id);
    m_health.forget(id);
}

void BatchRunner::scheduleRound()
{
    if (m_isRoundScheduled) {
        return;
    }
    m_isRoundScheduled = true;
    const auto sinceLast = m_loop.now() - m_lastRoundStartedAt;
    m_loop.runAfter(std::max(Milliseconds(0), MinRoundInterval - sinceLast), [this] {
        m_isRoundScheduled = false;
        runRound();
    });
}

void BatchRunner::runRound()
{
    if (!m_active || !m_hooks.mayStart() || m_view.routes() == nullptr) {
        return;
    }
    m_lastRoundStartedAt = m_loop.now();
    ++m_counts.rounds;
    m_requestLimiter.setShare(m_hooks.sendShare());
    std::optional<EndpointTable> table;
    for (auto *batch : m_batches.byAge()) {
        scheduleBatch(*batch, table);
    }
    if (m_hooks.mayStart()) {
        m_rewardCalls.poll();
    }
}

void BatchRunner::scheduleBatch(RunningBatch &batch, std::optional<EndpointTable> &table)
{
    auto &state = *batch.state;
    const auto *route = routeOf(m_view, state);
    if (route == nullptr || state.isDecided()) {
        return;
    }
    const auto now = m_loop.now();
    const auto waiting = state.waitingCount(now);
    if (waiting == 0) {
        recordWaiting(batch, 0, {});
        return;
    }
    if (!table) {
        table = m_tableBuilder.buildTable(now);
    }
    m_tableBuilder.setEligibility(*table, *route, state.index().workspace, state.submission().model);
    batch.account.setWaitReason(waitReasonOf(table->endpoints, state.submission().minimumVersion));
    std::size_t started = 0;
    if (m_hooks.mayStart() && hasFreeSlot(table->endpoints, state.submission().minimumVersion)) {
        const auto items = batch.waitingItems(m_runTracker, now);
        m_counts.examinedItems += items.size();
        for (const auto &item : items) {
            batch.account.beginWaiting(item.index, now);
        }
        for (const auto &assignment : assignItems(items, table->endpoints)) {
            if (const auto *endpoint = m_view.endpoints().find(assignment.endpoint)) {
                m_itemRuns.start(batch, assignment.item, *endpoint);
                ++started;
            }
        }
    }
    recordWaiting(batch, waiting - started, table->endpoints);
}

void BatchRunner::recordWaiting(RunningBatch &batch, std::size_t waiting, const std::vector<PlacementEndpoint> &endpoints)
{
    const auto now = m_loop.now();
    const bool hadWaiting = batch.lastWaitingCount > 0;
    batch.lastWaitingCount = waiting;
    if (waiting > 0) {
        m_demand.recordWaiting(batch.state->submission().model, now - batch.openedAt, now);
        batch.waitLog.logWaiting(*batch.state, {waiting, batch.openRuns.size(), now - batch.openedAt}, endpoints, now);
    }
    if (hadWaiting && waiting == 0) {
        m_hooks.onDemandChanged();
    }
}

void BatchRunner::tick()
{
    if (!m_active) {
        return;
    }
    for (auto *batch : m_batches.byAge()) {
        tickBatch(*batch);
    }
    moveToFasterEndpoints();
    m_batchWatch.poll();
    scheduleRound();
    m_loop.runAfter(TickInterval, [this, generation = m_activation] {
        if (generation == m_activation) {
            tick();
        }
    });
}

void BatchRunner::tickBatch(RunningBatch &batch)
{
    const auto now = m_loop.now();
    const auto *route = routeOf(m_view, *batch.state);
    if (route != nullptr) {
        for (const auto item : batch.state->expire(now, rulesOf(*route))) {
            m_itemRuns.cancel(batch, item, "retention_over");
        }
    }
    m_itemRuns.cancelSilent(batch);
    batch.writer->poll();
    batch.progressWriter->poll();
}

void BatchRunner::moveToFasterEndpoints()
{
    // Waiting items of any batch have priority for free slots.
    if (m_batches.hasWaitingItems() || m_batches.size() == 0 || m_view.routes() == nullptr || !m_hooks.mayStart()) {
        return;
    }
    const auto now = m_loop.now();
    const double medianInterval = m_health.medianIntervalMs(now);
    m_requestLimiter.setShare(m_hooks.sendShare());
    auto table = m_tableBuilder.buildTable(now);
    std::size_t movesLeft = MaxMovesPerTick;
    for (auto *batch : m_batches.byAge()) {
        const auto *route = routeOf(m_view, *batch->state);
        if (route == nullptr || batch->openRuns.empty()) {
            continue;
        }
        const auto &submission = batch->state->submission();
        m_tableBuilder.setEligibility(table, *route, batch->state->index().workspace, submission.model);
        const auto moves =
            planMoves(batch->movableRuns(m_runTracker, m_health, medianInterval, now), table.endpoints, medianInterval, submission.minimumVersion, movesLeft);
        movesLeft -= moves.size();
        for (const auto &move : moves) {
            m_itemRuns.move(*batch, move);
        }
    }
}

}
