#include "scheduling/accountreport.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

Milliseconds timeOf(const ActivityTimes &times, ItemActivity activity)
{
    return times[static_cast<std::size_t>(activity)];
}

Milliseconds averageOf(const ActivityTimes &totals, ItemActivity activity, const OpenBatch &batch)
{
    return timeOf(totals, activity) / static_cast<std::int64_t>(std::max<std::size_t>(1, batch.submission().items.size()));
}

Milliseconds ageOf(const OpenBatch &batch, Timestamp now)
{
    return now - Timestamp(batch.index().submittedAtMs);
}

}

AccountReport::AccountReport(EventLog &log, Metrics &metrics)
    : m_log(log)
    , m_metrics(metrics)
{
}

void AccountReport::reportReady(const OpenBatch &batch, const BatchAccount &account, std::size_t last, Milliseconds due, Timestamp now)
{
    const auto &model = batch.submission().model;
    const auto &times = account.timesOf(last);
    const auto took = ageOf(batch, now);
    const auto totals = account.totals();
    m_log.info("step_ready",
               {{"batch", batch.index().id},
                {"model", model},
                {"took_ms", took},
                {"due_ms", due},
                {"opened_after_ms", account.openedAt() - Timestamp(batch.index().submittedAtMs)},
                {"last_item", batch.item(last).id},
                {"cause", itemActivityName(account.mainActivityOf(last))},
                {"slot_ms", timeOf(times, ItemActivity::WaitingForSlot)},
                {"weights_ms", timeOf(times, ItemActivity::WaitingForWeights)},
                {"prompt_ms", timeOf(times, ItemActivity::Prompt)},
                {"generating_ms", timeOf(times, ItemActivity::Generating)},
                {"stalled_ms", timeOf(times, ItemActivity::Stalled)},
                {"restarting_ms", timeOf(times, ItemActivity::Restarting)},
                {"scoring_ms", timeOf(times, ItemActivity::Scoring)},
                {"listing_ms", timeOf(times, ItemActivity::Listing)},
                {"restarts", account.restartsOf(last)},
                {"events", batch.progress(last).text.eventCount()},
                {"expected_tokens", batch.item(last).lengthHint},
                {"mean_slot_ms", averageOf(totals, ItemActivity::WaitingForSlot, batch)},
                {"mean_weights_ms", averageOf(totals, ItemActivity::WaitingForWeights, batch)},
                {"mean_prompt_ms", averageOf(totals, ItemActivity::Prompt, batch)},
                {"mean_generating_ms", averageOf(totals, ItemActivity::Generating, batch)},
                {"mean_stalled_ms", averageOf(totals, ItemActivity::Stalled, batch)}});
    m_metrics.observe("basilbend_step_seconds", static_cast<double>(took.count()) / 1000, {{"model", model}});
    m_metrics.count("basilbend_steps_total", {{"model", model}, {"late", due.count() > 0 && took > due ? "yes" : "no"}});
    for (std::size_t i = 0; i < ItemActivityCount; ++i) {
        const MetricLabels labels{{"model", model}, {"activity", itemActivityName(static_cast<ItemActivity>(i))}};
        m_metrics.count("basilbend_step_last_item_ms_total", labels, static_cast<std::uint64_t>(times[i].count()));
    }
}

void AccountReport::reportUnfinished(const OpenBatch &batch, const BatchAccount &account, Milliseconds due, Timestamp now)
{
    const auto totals = account.totals();
    const auto main = std::max_element(totals.begin(), totals.end()) - totals.begin();
    m_log.info("step_unfinished",
               {{"batch", batch.index().id},
                {"model", batch.submission().model},
                {"took_ms", ageOf(batch, now)},
                {"due_ms", due},
                {"listed", batch.listedCount()},
                {"of", batch.index().itemCount},
                {"cause", itemActivityName(static_cast<ItemActivity>(main))}});
    m_metrics.count("basilbend_steps_unfinished_total", {{"model", batch.submission().model}});
}

}
