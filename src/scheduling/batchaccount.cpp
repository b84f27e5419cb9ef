#include "scheduling/batchaccount.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

std::size_t indexOf(ItemActivity activity)
{
    return static_cast<std::size_t>(activity);
}

}

const char *itemActivityName(ItemActivity activity)
{
    switch (activity) {
    case ItemActivity::WaitingForSlot:
        return "slot";
    case ItemActivity::WaitingForWeights:
        return "weights";
    case ItemActivity::Prompt:
        return "prompt";
    case ItemActivity::Generating:
        return "generating";
    case ItemActivity::Stalled:
        return "stalled";
    case ItemActivity::Restarting:
        return "restarting";
    case ItemActivity::Scoring:
        return "scoring";
    case ItemActivity::Listing:
        return "listing";
    }
    return "unknown";
}

BatchAccount::BatchAccount(std::size_t items, Timestamp openedAt)
    : m_items(items)
    , m_openedAt(openedAt)
{
    for (auto &item : m_items) {
        item.since = openedAt;
    }
}

void BatchAccount::add(Item &item, Timestamp now)
{
    const auto span = std::max(Milliseconds(0), now - item.since);
    const auto stalled = std::min(item.stalled, span);
    item.times[indexOf(item.activity)] += span - stalled;
    item.times[indexOf(ItemActivity::Stalled)] += stalled;
    item.stalled = Milliseconds(0);
    item.since = now;
}

void BatchAccount::enter(std::size_t i, ItemActivity activity, Timestamp now)
{
    auto &item = m_items[i];
    if (item.isFinished || item.activity == activity) {
        return;
    }
    add(item, now);
    item.activity = activity;
}

void BatchAccount::beginWaiting(std::size_t i, Timestamp now)
{
    enter(i, m_waitReason, now);
}

void BatchAccount::recordRestart(std::size_t i, Timestamp now)
{
    ++m_items[i].restarts;
    enter(i, ItemActivity::Restarting, now);
}

void BatchAccount::recordEvent(std::size_t i, Milliseconds pause, double usualMs)
{
    const bool isStall = pause >= StallTime && usualMs > 0 && static_cast<double>(pause.count()) >= StallFactor * usualMs;
    if (isStall) {
        m_items[i].stalled += pause;
    }
}

void BatchAccount::finish(std::size_t i, Timestamp now)
{
    auto &item = m_items[i];
    if (!item.isFinished) {
        add(item, now);
        item.isFinished = true;
    }
}

ItemActivity BatchAccount::mainActivityOf(std::size_t i) const
{
    const auto &times = m_items[i].times;
    return static_cast<ItemActivity>(std::max_element(times.begin(), times.end()) - times.begin());
}

ActivityTimes BatchAccount::totals() const
{
    ActivityTimes totals{};
    for (const auto &item : m_items) {
        for (std::size_t i = 0; i < ItemActivityCount; ++i) {
            totals[i] += item.times[i];
        }
    }
    return totals;
}

}
