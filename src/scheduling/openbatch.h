#pragma once

#include "batches/batch.h"
#include "scheduling/kepttext.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

enum class ItemPhase {
    Waiting,
    Running,
    /// Its text is whole; the reward call that gives its score is outstanding.
    Scoring,
    /// Its result is decided; it may not be listed yet.
    Decided,
};

/// Where one item of an open batch stands.
struct ItemProgress {
    ItemPhase phase = ItemPhase::Waiting;
    ItemText text;
    /// The text is whole.
    bool isComplete = false;
    /// Answers of 500 so far.
    int serverErrors = 0;
    /// Answers of 500 to its reward call.
    int rewardErrors = 0;
    /// Number of the current run; tells late calls of an earlier one.
    std::uint64_t run = 0;
    std::string endpoint;
    std::string avoidedEndpoint;
    Timestamp notBefore;
    /// Runs in a row that were given up without any event.
    int fruitlessRuns = 0;
    /// A run of it was cancelled because another endpoint was faster.
    bool hasMoved = false;
};

/// What the rules of its route say of a batch.
struct BatchRules {
    int attempts = 1;
    Milliseconds retention{0};
    bool singleVersion = false;
};

/// One batch that is being run: the progress of its items and the results that are not listed yet. Makes the decisions on
/// results and does no input or output.
class OpenBatch
{
public:
    /// Listed: the items of the results that the store holds, in order of position.
    OpenBatch(BatchIndex index, BatchSubmission submission, std::vector<std::string> listed);

    const BatchIndex &index() const
    {
        return m_index;
    }
    const BatchSubmission &submission() const
    {
        return m_submission;
    }
    const BatchItem &item(std::size_t i) const
    {
        return m_submission.items[i];
    }
    ItemProgress &progress(std::size_t i)
    {
        return m_progress[i];
    }
    const ItemProgress &progress(std::size_t i) const
    {
        return m_progress[i];
    }

    /// Order in which waiting items are started.
    const std::vector<std::size_t> &order() const
    {
        return m_order;
    }

    /// Takes over what an earlier batch has generated of the same items, where the versions fit. Also settles the order.
    void adopt(const std::vector<KeptText> &kept, const BatchRules &rules);

    /// Adds an event of the current run. Returns false when it can't be joined and the run is of no use.
    bool addEvent(std::size_t i, std::uint64_t id, std::string data, std::uint64_t version, const BatchRules &rules);

    /// The run has delivered its last event. An item with a reward request then waits for its score.
    void complete(std::size_t i);

    /// The text of an item that waits for it has been scored.
    void acceptScore(std::size_t i, std::string score);

    /// The reward call was answered with 500. Terminates the item after so many attempts, because some can never be scored.
    void noteRewardError(std::size_t i, int attempts);

    /// Items of this one's group whose text is not whole yet.
    std::size_t unfinishedInGroup(std::size_t i) const
    {
        return m_unfinishedInGroup[m_groupOf[i]];
    }

    /// The endpoint answered 500. Terminates the item after as many as the route allows.
    void noteServerError(std::size_t i, const BatchRules &rules);

    void terminate(std::size_t i);

    /// Puts an item back in the queue; it goes on behind its last event.
    void requeue(std::size_t i, const std::string &avoidedEndpoint, Timestamp notBefore);

    /// Terminates what has not been decided when its time is over. Returns the items that were running.
    std::vector<std::size_t> expire(Timestamp now, const BatchRules &rules);

    bool isDecided() const
    {
        return m_decided == m_progress.size();
    }
    bool isListed() const
    {
        return m_listed.size() == m_progress.size();
    }
    std::size_t listedCount() const
    {
        return m_listed.size();
    }
    /// The items of the listed results, in order of position.
    const std::vector<std::string> &listed() const
    {
        return m_listed;
    }

    /// How many items may start now.
    std::size_t waitingCount(Timestamp now) const;

    /// Whether results wait to be listed.
    bool hasPending() const
    {
        return !m_pending.empty();
    }

    /// The next results to list, at most this many bytes of text but at least one.
    std::vector<ItemResult> nextResults(std::size_t maxBytes) const;

    /// The first n pending results are listed.
    void noteListed(std::size_t n);

    /// What long items have generated so far, longest first, at most this many bytes.
    std::vector<KeptText> progressTexts(std::size_t maxBytes) const;

    /// What may be of use when items come again: text of items in groups that are not complete.
    std::vector<KeptText> textsToKeep() const;

private:
    void decide(std::size_t i, ItemOutcome outcome, std::string score = {});
    void noteFinished(std::size_t i);

    BatchIndex m_index;
    BatchSubmission m_submission;
    std::vector<ItemProgress> m_progress;
    std::vector<std::size_t> m_order;
    /// The group of each item, as an index into the counts below.
    std::vector<std::size_t> m_groupOf;
    std::vector<std::size_t> m_unfinishedInGroup;
    std::deque<ItemResult> m_pending;
    std::size_t m_decided = 0;
    std::vector<std::string> m_listed;
};

}
