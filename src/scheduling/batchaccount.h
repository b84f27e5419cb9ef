#pragma once

#include "base/timestamp.h"

#include <array>
#include <cstddef>
#include <vector>

namespace Basilbend
{

/// What an item of a batch spends its time on, from the opening of the batch to the listing of its result.
enum class ItemActivity {
    /// No endpoint with recent enough weights has a free slot.
    WaitingForSlot,
    /// Endpoints that could take it have older weights or are loading new ones.
    WaitingForWeights,
    /// From the start of a run to its first event.
    Prompt,
    Generating,
    /// Pauses between two events that are much longer than usual.
    Stalled,
    /// Pause before another run after a failed or cancelled one.
    Restarting,
    Scoring,
    /// The result is final and waits for its write to the store.
    Listing,
};

inline constexpr std::size_t ItemActivityCount = 8;

/// Name of an activity in logs and metrics.
const char *itemActivityName(ItemActivity activity);

/// Time by activity; index with static_cast<std::size_t>(activity).
using ActivityTimes = std::array<Milliseconds, ItemActivityCount>;

/// Accounts for the time of the items of one batch, so that a late step can be traced to its cause: the item that is listed last
/// among those that the trainer waits for decides when the step is done.
class BatchAccount
{
public:
    BatchAccount() = default;
    BatchAccount(std::size_t items, Timestamp openedAt);

    /// The item begins an activity; the time since its last one counts for that one. Ignored after finish().
    void enter(std::size_t item, ItemActivity activity, Timestamp now);

    /// Sets the reason for which items wait, from this round of placement on.
    void setWaitReason(ItemActivity reason)
    {
        m_waitReason = reason;
    }

    /// The item waits for an endpoint, for the current reason.
    void beginWaiting(std::size_t item, Timestamp now);

    /// A run of the item has ended without its text being complete.
    void recordRestart(std::size_t item, Timestamp now);

    /// Counts a pause between two events. usualMs: the usual pause of all endpoints; zero if unknown.
    void recordEvent(std::size_t item, Milliseconds pause, double usualMs);

    /// The result of the item is listed.
    void finish(std::size_t item, Timestamp now);

    Timestamp openedAt() const
    {
        return m_openedAt;
    }

    const ActivityTimes &timesOf(std::size_t item) const
    {
        return m_items[item].times;
    }

    int restartsOf(std::size_t item) const
    {
        return m_items[item].restarts;
    }

    /// The activity that took most of the item's time.
    ItemActivity mainActivityOf(std::size_t item) const;

    /// Sum of the times of all items.
    ActivityTimes totals() const;

    /// A pause counts as a stall from this multiple of the usual one on, and from StallTime on.
    static constexpr double StallFactor = 4;
    static constexpr Milliseconds StallTime{200};

private:
    struct Item {
        ActivityTimes times{};
        ItemActivity activity = ItemActivity::WaitingForSlot;
        Timestamp since;
        /// Length of the stalls within the current run.
        Milliseconds stalled{0};
        int restarts = 0;
        bool isFinished = false;
    };

    static void add(Item &item, Timestamp now);

    std::vector<Item> m_items;
    Timestamp m_openedAt;
    ItemActivity m_waitReason = ItemActivity::WaitingForSlot;
};

}
