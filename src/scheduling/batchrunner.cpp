#include "scheduling/batchrunner.h"

#include "scheduling/silencerule.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr Milliseconds TickInterval{100};
/// Delay before an item is started again after a failed run.
constexpr Milliseconds RetryDelay{20};
/// Maximum number of runs moved to faster endpoints per tick.
constexpr std::size_t MaxMovesPerTick = 12;
/// Minimum time between two scheduling rounds. Under load many runs end in this time, and one round handles them all.
constexpr Milliseconds MinRoundInterval{10};

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
    , m_metrics(metrics)
    , m_client(client)
    , m_groupedStore(store, m_loop)
    , m_view(view)
    , m_hooks(std::move(hooks))
    , m_batchWatch(
          store,
          m_loop,
          log,
          {m_hooks.term, [this](const std::string &id, LoadedBatch loaded) { open(id, std::move(loaded)); }, [this](const std::string &id) { close(id); }})
    , m_requestLimiter(warmupTolerance)
    , m_grantServer(m_loop, metrics, m_requestLimiter, {m_hooks.mayGrant, m_hooks.sendShare})
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
        const auto *batch = find(id);
        return m_hooks.isSoleLeader() && batch != nullptr && !batch->writer->hasUnconfirmedWrite();
    };
    return hooks;
}

ResultWriter::Hooks BatchRunner::writerHooks(const std::string &id)
{
    ResultWriter::Hooks hooks;
    hooks.term = m_hooks.term;
    hooks.onListedElsewhere = [this, id] { reload(id); };
    hooks.onListed = [this, id](const std::vector<ItemResult> &results) { m_resultServer.addListed(id, results); };
    return hooks;
}

RewardHooks BatchRunner::rewardHooks()
{
    RewardHooks hooks;
    hooks.onScore = [this](const std::string &id, std::size_t item, std::string score) {
        if (auto *batch = find(id)) {
            batch->state->acceptScore(item, std::move(score));
            pollResults(id);
        }
    };
    hooks.onServerError = [this](const std::string &id, std::size_t item, int attempts) {
        if (auto *batch = find(id)) {
            batch->state->recordRewardError(item, attempts);
            pollResults(id);
        }
    };
    hooks.onRetryDue = [this] { scheduleRound(); };
    return hooks;
}

void BatchRunner::pollResults(const std::string &id)
{
    if (auto *batch = find(id)) {
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
    for (auto &[id, batch] : m_batches) {
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
    const auto *route = routeOf(*batch->state);
    if (route != nullptr) {
        auto texts = m_resumableTexts.all();
        std::move(loaded.progress.begin(), loaded.progress.end(), std::back_inserter(texts));
        batch->state->restoreTexts(texts, rulesOf(*route));
    }
    batch->writer = std::make_shared<ResultWriter>(m_groupedStore, m_loop, m_log, batch->state, writerHooks(id));
    batch->progressWriter = std::make_shared<ProgressWriter>(m_groupedStore, m_loop, m_log, batch->state, m_hooks.term);
    m_log.info("batch_opened",
               {{"batch", id},
                {"items", batch->state->index().itemCount},
                {"listed", batch->state->listedCount()},
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
    m_batches[id] = std::move(batch);
    m_hooks.onDemandChanged();
    scheduleRound();
}

void BatchRunner::recordDuration(const OpenBatch &batch)
{
    const auto now = m_loop.now();
    if (const auto *route = routeOf(batch)) {
        m_demand.recordDuration(batch.submission().model, now - Timestamp(batch.index().submittedAtMs), route->resultDeadline, now);
    }
}

void BatchRunner::close(const std::string &id)
{
    const auto it = m_batches.find(id);
    if (it == m_batches.end()) {
        return;
    }
    const auto batch = std::move(it->second);
    m_batches.erase(it);
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
    auto *batch = find(id);
    if (batch == nullptr) {
        return;
    }
    const auto index = batch->state->index();
    close(id);
    m_batchWatch.reload(index);
}

RunningBatch *BatchRunner::find(const std::string &id)
{
    const auto it = m_batches.find(id);
    return it == m_batches.end() ? nullptr : it->second.get();
}

const RouteRule *BatchRunner::routeOf(const OpenBatch &batch) const
{
    return m_view.routes() == nullptr ? nullptr : m_view.routes()->routeNamed(batch.index().route);
}

BatchRules BatchRunner::rulesOf(const RouteRule &route)
{
    return {route.attempts, route.retention, route.singleVersion};
}

std::map<std::string, ModelWorkload> BatchRunner::modelWorkloads() const
{
    auto loads = m_demand.loads(m_loop.now());
    for (const auto &[id, batch] : m_batches) {
        const auto &submission = batch->state->submission();
        auto &load = loads[submission.model];
        load.requiredVersion = std::max(load.requiredVersion, submission.minimumVersion);
        load.hasWaitingItems = load.hasWaitingItems || batch->lastWaitingCount > 0;
    }
    return loads;
}

std::size_t BatchRunner::openRunCount() const
{
    std::size_t n = 0;
    for (const auto &[id, batch] : m_batches) {
        n += batch->openRuns.size();
    }
    return n;
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

std::vector<RunningBatch *> BatchRunner::batchesByAge() const
{
    std::vector<RunningBatch *> batches;
    for (const auto &[id, batch] : m_batches) {
        batches.push_back(batch.get());
    }
    std::sort(batches.begin(), batches.end(), [](const RunningBatch *a, const RunningBatch *b) {
        return a->state->index().submittedAtMs < b->state->index().submittedAtMs;
    });
    return batches;
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
    for (auto *batch : batchesByAge()) {
        scheduleBatch(*batch, table);
    }
    if (m_hooks.mayStart()) {
        m_rewardCalls.poll();
    }
}

void BatchRunner::scheduleBatch(RunningBatch &batch, std::optional<EndpointTable> &table)
{
    auto &state = *batch.state;
    const auto *route = routeOf(state);
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
    std::size_t started = 0;
    if (m_hooks.mayStart() && hasFreeSlot(table->endpoints, state.submission().minimumVersion)) {
        const auto items = batch.waitingItems(m_runTracker, now);
        m_counts.examinedItems += items.size();
        for (const auto &assignment : assignItems(items, table->endpoints)) {
            if (const auto *endpoint = m_view.endpoints().find(assignment.endpoint)) {
                startRun(batch, assignment.item, *endpoint);
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

void BatchRunner::startRun(RunningBatch &batch, std::size_t item, const EndpointRecord &endpoint)
{
    auto &state = *batch.state;
    auto &progress = state.progress(item);
    const auto run = ++m_lastRunNumber;
    const auto id = state.index().id;
    progress.phase = ItemPhase::Running;
    progress.runNumber = run;
    progress.endpoint = endpoint.id;
    ItemRunHooks hooks;
    hooks.onEvent = [this, id, item, run](std::uint64_t event, std::string data, std::uint64_t version) {
        return acceptEvent(id, item, run, event, std::move(data), version);
    };
    hooks.onEnd = [this, id, item, run](RunEnd end, int status) { acceptEnd(id, item, run, end, status); };
    hooks.onRateStated = [this, start = EndpointStart{endpoint.id, endpoint.startedAtMs}, sentAt = m_loop.now()](const RateStatement &rate) {
        m_requestLimiter.announcedLimits().record(start, rate, sentAt, m_loop.now());
    };
    hooks.onEndpointLeaving = [this, id = endpoint.id, startedAtMs = endpoint.startedAtMs] { m_view.markEndpointLeaving(id, startedAtMs); };
    OpenRun openRun;
    openRun.endpoint = endpoint.id;
    openRun.number = run;
    openRun.itemRun =
        std::make_unique<ItemRun>(m_client, m_loop, endpoint, m_hooks.endpoints.servedVersion(endpoint, state.submission().model), std::move(hooks));
    m_log.info("item_sent",
               {{"batch", id},
                {"item", state.item(item).id},
                {"endpoint", endpoint.id},
                {"after_event", progress.text.lastEventId()},
                {"running", m_runTracker.runCount(endpoint.id)},
                {"endpoint_version", m_hooks.endpoints.servedVersion(endpoint, state.submission().model)}});
    const RunStart from{progress.text.lastEventId(), m_hooks.endpoints.unreportedVersion(endpoint.id, state.submission().model)};
    openRun.itemRun->start(state.item(item), state.index(), from);
    m_requestLimiter.recordRequest(endpoint, m_loop.now());
    m_runTracker.addRun(endpoint.id, run, runTokens(state.item(item), progress.text.eventCount()));
    batch.openRuns.emplace(item, std::move(openRun));
    m_metrics.count("basilbend_item_runs_total");
    ++m_counts.startedRuns;
}

bool BatchRunner::acceptEvent(const std::string &id, std::size_t item, std::uint64_t run, std::uint64_t event, std::string data, std::uint64_t version)
{
    auto *batch = find(id);
    if (batch == nullptr || batch->state->progress(item).runNumber != run || batch->state->progress(item).phase != ItemPhase::Running) {
        return false;
    }
    ++m_counts.events;
    const auto *route = routeOf(*batch->state);
    auto &openRun = batch->openRuns.at(item);
    const auto now = m_loop.now();
    if (openRun.hasEvent) {
        m_health.recordInterval(openRun.endpoint, now - openRun.lastEventAt, now);
    }
    openRun.hasEvent = true;
    openRun.lastEventAt = now;
    m_runTracker.recordEvent(openRun.endpoint, run);
    const bool isAccepted = batch->state->addEvent(item, event, std::move(data), version, route == nullptr ? BatchRules() : rulesOf(*route));
    if (!isAccepted) {
        m_log.warning("event_rejected",
                      {{"batch", id},
                       {"item", batch->state->item(item).id},
                       {"event", event},
                       {"last_event", batch->state->progress(item).text.lastEventId()},
                       {"version", version},
                       {"minimum_version", batch->state->submission().minimumVersion}});
        // Cancelled from the event loop, because this function is called from within the run.
        m_loop.runAfter(Milliseconds(0), [this, id, item, run] {
            auto *current = find(id);
            if (current != nullptr && current->state->progress(item).runNumber == run && current->state->progress(item).phase == ItemPhase::Running) {
                cancelRun(*current, item, "event_rejected");
            }
        });
    }
    return isAccepted;
}

void BatchRunner::acceptEnd(const std::string &id, std::size_t item, std::uint64_t run, RunEnd end, int status)
{
    auto *batch = find(id);
    if (batch == nullptr || batch->state->progress(item).runNumber != run || batch->state->progress(item).phase != ItemPhase::Running) {
        return;
    }
    auto &state = *batch->state;
    const auto openRun = detachRun(*batch, item);
    const auto endpoint = openRun->endpoint;
    const auto now = m_loop.now();
    m_health.recordRunEnd(endpoint, end, openRun->hasEvent, now);
    if (end == RunEnd::Refused) {
        m_hooks.onRunRefused(endpoint);
    }
    const auto *route = routeOf(state);
    const auto rules = route == nullptr ? BatchRules() : rulesOf(*route);
    const bool isTextComplete = end == RunEnd::Complete && state.progress(item).text.eventCount() > 0;
    if (isTextComplete) {
        m_runTracker.recordCompletion(runTokens(state.item(item), state.progress(item).text.eventCount()));
        state.complete(item);
        if (state.progress(item).phase == ItemPhase::Scoring) {
            m_rewardCalls.add(batch->state, item);
        }
    } else if (end == RunEnd::Unprocessable) {
        state.terminate(item);
    } else if (end == RunEnd::ServerError) {
        state.recordServerError(item, rules);
    }
    if (state.progress(item).phase != ItemPhase::Decided) {
        state.requeue(item, endpoint, now + RetryDelay);
    }
    if (!isTextComplete) {
        m_log.warning("run_failed",
                      {{"batch", id},
                       {"item", state.item(item).id},
                       {"endpoint", endpoint},
                       {"end", runEndName(end)},
                       {"status", status},
                       {"events", state.progress(item).text.eventCount()},
                       {"server_errors", state.progress(item).serverErrors},
                       {"after_ms", now - openRun->itemRun->startedAt()}});
    }
    m_metrics.count("basilbend_item_run_ends_total", {{"end", std::string(runEndName(end))}});
    batch->writer->poll();
    scheduleRound();
}

std::optional<OpenRun> BatchRunner::detachRun(RunningBatch &batch, std::size_t item)
{
    auto node = batch.openRuns.extract(item);
    if (node.empty()) {
        return std::nullopt;
    }
    m_runTracker.removeRun(node.mapped().endpoint, node.mapped().number);
    return std::move(node.mapped());
}

void BatchRunner::cancelRun(RunningBatch &batch, std::size_t item, const char *why)
{
    const auto openRun = detachRun(batch, item);
    if (!openRun) {
        return;
    }
    const auto endpoint = openRun->endpoint;
    m_log.warning("run_cancelled",
                  {{"batch", batch.state->index().id},
                   {"item", batch.state->item(item).id},
                   {"endpoint", endpoint},
                   {"why", why},
                   {"events", batch.state->progress(item).text.eventCount()},
                   {"silent_ms", m_loop.now() - openRun->itemRun->lastProgressAt()}});
    batch.state->requeue(item, endpoint, Timestamp());
    m_metrics.count("basilbend_item_runs_cancelled_total", {{"why", why}});
    ++m_counts.cancelledRuns;
    scheduleRound();
}

void BatchRunner::tick()
{
    if (!m_active) {
        return;
    }
    for (const auto &[id, batch] : m_batches) {
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
    const auto *route = routeOf(*batch.state);
    if (route != nullptr) {
        for (const auto item : batch.state->expire(now, rulesOf(*route))) {
            cancelRun(batch, item, "retention_over");
        }
    }
    cancelSilentRuns(batch);
    batch.writer->poll();
    batch.progressWriter->poll();
}

void BatchRunner::cancelSilentRuns(RunningBatch &batch)
{
    const auto now = m_loop.now();
    std::vector<std::size_t> silent;
    for (const auto &[item, openRun] : batch.openRuns) {
        const auto limit = silenceTimeout(m_health.eventIntervalMs(openRun.endpoint, now), batch.state->progress(item).runsWithoutEvent);
        if (now - openRun.itemRun->lastProgressAt() >= limit) {
            silent.push_back(item);
        }
    }
    for (const auto item : silent) {
        auto &openRun = batch.openRuns.at(item);
        m_health.recordFailure(openRun.endpoint, now);
        batch.state->progress(item).runsWithoutEvent += openRun.hasEvent ? 0 : 1;
        cancelRun(batch, item, "silent");
    }
}

void BatchRunner::moveToFasterEndpoints()
{
    // Waiting items of any batch have priority for free slots.
    const bool isWaiting = std::any_of(m_batches.begin(), m_batches.end(), [](const auto &entry) { return entry.second->lastWaitingCount > 0; });
    if (isWaiting || m_batches.empty() || m_view.routes() == nullptr || !m_hooks.mayStart()) {
        return;
    }
    const auto now = m_loop.now();
    const double medianInterval = m_health.medianIntervalMs(now);
    m_requestLimiter.setShare(m_hooks.sendShare());
    auto table = m_tableBuilder.buildTable(now);
    std::size_t movesLeft = MaxMovesPerTick;
    for (auto *batch : batchesByAge()) {
        const auto *route = routeOf(*batch->state);
        if (route == nullptr || batch->openRuns.empty()) {
            continue;
        }
        const auto &submission = batch->state->submission();
        m_tableBuilder.setEligibility(table, *route, batch->state->index().workspace, submission.model);
        const auto moves =
            planMoves(batch->movableRuns(m_runTracker, m_health, medianInterval, now), table.endpoints, medianInterval, submission.minimumVersion, movesLeft);
        movesLeft -= moves.size();
        for (const auto &move : moves) {
            moveRun(*batch, move);
        }
    }
}

void BatchRunner::moveRun(RunningBatch &batch, const RunMove &move)
{
    cancelRun(batch, move.itemIndex, "faster_elsewhere");
    batch.state->progress(move.itemIndex).hasMoved = true;
    if (const auto *endpoint = m_view.endpoints().find(move.endpoint)) {
        startRun(batch, move.itemIndex, *endpoint);
    }
}

}
