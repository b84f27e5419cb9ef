#include "scheduling/itemruns.h"

#include "scheduling/batchroute.h"
#include "scheduling/silencerule.h"

#include <utility>
#include <vector>

namespace Basilbend
{

namespace
{

/// Delay before an item is started again after a failed run.
constexpr Milliseconds RetryDelay{20};

}

ItemRuns::ItemRuns(ItemRunsContext context, ItemRunsHooks hooks)
    : m_context(std::move(context))
    , m_hooks(std::move(hooks))
{
}

void ItemRuns::start(RunningBatch &batch, std::size_t item, const EndpointRecord &endpoint)
{
    auto &state = *batch.state;
    auto &progress = state.progress(item);
    const auto run = ++m_lastRunNumber;
    const auto id = state.index().id;
    batch.account.enter(item, ItemActivity::Prompt, m_context.loop.now());
    progress.phase = ItemPhase::Running;
    progress.runNumber = run;
    progress.endpoint = endpoint.id;
    OpenRun openRun;
    openRun.endpoint = endpoint.id;
    openRun.number = run;
    openRun.itemRun = std::make_unique<ItemRun>(
        m_context.client, m_context.loop, endpoint, m_hooks.endpoints.servedVersion(endpoint, state.submission().model), itemRunHooks(id, item, run, endpoint));
    m_context.log.info("item_sent",
                       {{"batch", id},
                        {"item", state.item(item).id},
                        {"endpoint", endpoint.id},
                        {"after_event", progress.text.lastEventId()},
                        {"running", m_context.tracker.runCount(endpoint.id)},
                        {"endpoint_version", m_hooks.endpoints.servedVersion(endpoint, state.submission().model)}});
    const RunStart from{progress.text.lastEventId(), m_hooks.endpoints.unreportedVersion(endpoint.id, state.submission().model)};
    openRun.itemRun->start(state.item(item), state.index(), from, progress.connections);
    m_context.requestLimiter.recordRequest(endpoint, m_context.loop.now());
    m_context.tracker.addRun(endpoint.id, run, runTokens(state.item(item), progress.text.eventCount()));
    batch.openRuns.emplace(item, std::move(openRun));
    m_context.metrics.count("basilbend_item_runs_total");
    ++m_context.counts.startedRuns;
}

ItemRunHooks ItemRuns::itemRunHooks(const std::string &id, std::size_t item, std::uint64_t run, const EndpointRecord &endpoint)
{
    ItemRunHooks hooks;
    hooks.onEvent = [this, id, item, run](std::uint64_t event, std::string data, std::uint64_t version) {
        return acceptEvent(id, item, run, event, std::move(data), version);
    };
    hooks.onEnd = [this, id, item, run](RunEnd end, int status) { acceptEnd(id, item, run, end, status); };
    hooks.onRateStated = [this, start = EndpointStart{endpoint.id, endpoint.startedAtMs}, sentAt = m_context.loop.now()](const RateStatement &rate) {
        m_context.requestLimiter.announcedLimits().record(start, rate, sentAt, m_context.loop.now());
    };
    hooks.onEndpointLeaving = [this, id = endpoint.id, startedAtMs = endpoint.startedAtMs] { m_context.view.markEndpointLeaving(id, startedAtMs); };
    return hooks;
}

RunningBatch *ItemRuns::batchOfCurrentRun(const std::string &id, std::size_t item, std::uint64_t run)
{
    auto *batch = m_context.batches.find(id);
    if (batch == nullptr) {
        return nullptr;
    }
    const auto &progress = batch->state->progress(item);
    return progress.runNumber == run && progress.phase == ItemPhase::Running ? batch : nullptr;
}

bool ItemRuns::acceptEvent(const std::string &id, std::size_t item, std::uint64_t run, std::uint64_t event, std::string data, std::uint64_t version)
{
    auto *batch = batchOfCurrentRun(id, item, run);
    if (batch == nullptr) {
        return false;
    }
    ++m_context.counts.events;
    auto &openRun = batch->openRuns.at(item);
    const auto now = m_context.loop.now();
    if (openRun.hasEvent) {
        batch->account.recordEvent(item, now - openRun.lastEventAt, m_context.health.eventIntervalMs(openRun.endpoint, now));
        m_context.health.recordInterval(openRun.endpoint, now - openRun.lastEventAt, now);
    } else {
        batch->account.enter(item, ItemActivity::Generating, now);
    }
    openRun.hasEvent = true;
    openRun.lastEventAt = now;
    m_context.tracker.recordEvent(openRun.endpoint, run);
    const auto otherTextBytes = m_context.batches.textBytes() - batch->state->textBytes();
    const bool isAccepted = batch->state->addEvent(item, event, std::move(data), version, rulesOf(m_context.view, *batch->state), otherTextBytes);
    if (!isAccepted) {
        m_context.log.warning("event_rejected",
                              {{"batch", id},
                               {"item", batch->state->item(item).id},
                               {"event", event},
                               {"last_event", batch->state->progress(item).text.lastEventId()},
                               {"version", version},
                               {"minimum_version", batch->state->submission().minimumVersion}});
        // Cancelled from the event loop, because this function is called from within the run.
        m_context.loop.runAfter(Milliseconds(0), [this, id, item, run] {
            if (auto *current = batchOfCurrentRun(id, item, run)) {
                cancel(*current, item, "event_rejected");
            }
        });
    }
    return isAccepted;
}

void ItemRuns::acceptEnd(const std::string &id, std::size_t item, std::uint64_t run, RunEnd end, int status)
{
    auto *batch = batchOfCurrentRun(id, item, run);
    if (batch == nullptr) {
        return;
    }
    auto &state = *batch->state;
    const auto openRun = detach(*batch, item);
    const auto endpoint = openRun->endpoint;
    const auto now = m_context.loop.now();
    m_context.health.recordRunEnd(endpoint, end, openRun->hasEvent, now);
    if (end == RunEnd::Refused) {
        m_hooks.onRunRefused(endpoint);
    }
    const bool isTextComplete = end == RunEnd::Complete && state.progress(item).text.eventCount() > 0;
    if (isTextComplete) {
        m_context.tracker.recordCompletion(runTokens(state.item(item), state.progress(item).text.eventCount()));
        state.complete(item);
        if (state.progress(item).phase == ItemPhase::Scoring) {
            m_hooks.onRewardDue(batch->state, item);
        }
    } else if (end == RunEnd::Unprocessable) {
        state.terminate(item);
    } else if (end == RunEnd::ServerError) {
        state.recordServerError(item, rulesOf(m_context.view, state));
    }
    switch (state.progress(item).phase) {
    case ItemPhase::Decided:
        batch->account.enter(item, ItemActivity::Listing, now);
        break;
    case ItemPhase::Scoring:
        batch->account.enter(item, ItemActivity::Scoring, now);
        break;
    case ItemPhase::Running:
    case ItemPhase::Waiting:
        state.requeue(item, endpoint, now + RetryDelay);
        batch->account.recordRestart(item, now);
        break;
    }
    if (!isTextComplete) {
        m_context.log.warning("run_failed",
                              {{"batch", id},
                               {"item", state.item(item).id},
                               {"endpoint", endpoint},
                               {"end", runEndName(end)},
                               {"status", status},
                               {"events", state.progress(item).text.eventCount()},
                               {"server_errors", state.progress(item).serverErrors},
                               {"after_ms", now - openRun->itemRun->startedAt()}});
    }
    m_context.metrics.count("basilbend_item_run_ends_total", {{"end", std::string(runEndName(end))}});
    m_hooks.onRunEnded(id);
}

std::optional<OpenRun> ItemRuns::detach(RunningBatch &batch, std::size_t item)
{
    auto node = batch.openRuns.extract(item);
    if (node.empty()) {
        return std::nullopt;
    }
    m_context.tracker.removeRun(node.mapped().endpoint, node.mapped().number);
    return std::move(node.mapped());
}

void ItemRuns::cancel(RunningBatch &batch, std::size_t item, const char *why)
{
    const auto openRun = detach(batch, item);
    if (!openRun) {
        return;
    }
    const auto endpoint = openRun->endpoint;
    m_context.log.warning("run_cancelled",
                          {{"batch", batch.state->index().id},
                           {"item", batch.state->item(item).id},
                           {"endpoint", endpoint},
                           {"why", why},
                           {"events", batch.state->progress(item).text.eventCount()},
                           {"silent_ms", m_context.loop.now() - openRun->itemRun->lastProgressAt()}});
    batch.state->requeue(item, endpoint, Timestamp());
    batch.account.recordRestart(item, m_context.loop.now());
    m_context.metrics.count("basilbend_item_runs_cancelled_total", {{"why", why}});
    ++m_context.counts.cancelledRuns;
    m_hooks.onRunCancelled();
}

void ItemRuns::cancelSilent(RunningBatch &batch)
{
    const auto now = m_context.loop.now();
    std::vector<std::size_t> silent;
    for (const auto &[item, openRun] : batch.openRuns) {
        const auto limit = silenceTimeout(m_context.health.eventIntervalMs(openRun.endpoint, now), batch.state->progress(item).runsWithoutEvent);
        if (now - openRun.itemRun->lastProgressAt() >= limit) {
            silent.push_back(item);
        }
    }
    for (const auto item : silent) {
        auto &openRun = batch.openRuns.at(item);
        m_context.health.recordFailure(openRun.endpoint, now);
        batch.state->progress(item).runsWithoutEvent += openRun.hasEvent ? 0 : 1;
        cancel(batch, item, "silent");
    }
}

void ItemRuns::move(RunningBatch &batch, const RunMove &move)
{
    cancel(batch, move.itemIndex, "faster_elsewhere");
    batch.state->progress(move.itemIndex).hasMoved = true;
    if (const auto *endpoint = m_context.view.endpoints().find(move.endpoint)) {
        start(batch, move.itemIndex, *endpoint);
    }
}

}
