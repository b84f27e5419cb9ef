#pragma once

#include "batches/batch.h"
#include "http/connectionhistory.h"
#include "scheduling/resumabletext.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Basilbend
{

enum class ItemPhase {
    Waiting,
    Running,
    /// The text is complete; the reward call that returns its score is outstanding.
    Scoring,
    /// The result is final but not necessarily listed in the store yet.
    Decided,
};

/// State of one item of an open batch.
struct ItemProgress {
    ItemPhase phase = ItemPhase::Waiting;
    ItemText text;
    /// Whether the last event of the text has arrived.
    bool isComplete = false;
    /// Number of 500 responses to its runs.
    int serverErrors = 0;
    /// Number of 500 responses to its reward calls.
    int rewardErrors = 0;
    /// Number of the current run; callbacks of earlier runs carry a lower number and are ignored.
    std::uint64_t runNumber = 0;
    std::string endpoint;
    std::string avoidedEndpoint;
    Timestamp notBefore;
    /// Consecutive runs that were cancelled before their first event.
    int runsWithoutEvent = 0;
    /// Whether a run of the item has been cancelled because another endpoint was faster.
    bool hasMoved = false;
    /// Connections that have carried the item.
    ConnectionHistory connections;
};

/// An item that can't be sent to an endpoint.
struct InvalidItem {
    std::size_t index = 0;
    std::string reason;
};

/// Settings of a batch's route that apply to its items.
struct BatchRules {
    int attempts = 1;
    Milliseconds retention{0};
    bool singleVersion = false;
};

/// State of an open batch: the progress of its items and the results that are not listed in the store yet. Decides the
/// results of items and performs no I/O.
class OpenBatch
{
public:
    /// listed: ids of the items whose results the store holds, in order of position.
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

    /// Indexes of the items in the order in which they are started.
    const std::vector<std::size_t> &order() const
    {
        return m_order;
    }

    /// Takes over texts that were generated for the same items in an earlier batch or by an earlier leader, where their
    /// weight versions are allowed. An item of an earlier batch is the same if its id and what its text is generated from are.
    /// Also determines the start order.
    void restoreTexts(const std::vector<ResumableText> &resumable, const BatchRules &rules);

    /// Appends an event of the current run. Returns false if the event cannot be appended and the run must be cancelled. otherTextBytes:
    /// size of the texts of all other open batches.
    bool addEvent(std::size_t i, std::uint64_t id, std::string data, std::uint64_t version, const BatchRules &rules, std::size_t otherTextBytes = 0);

    /// Size of the texts of all items.
    std::size_t textBytes() const
    {
        return m_textBytes;
    }

    /// Marks the text of an item as complete. An item with a reward request then waits for its score.
    void complete(std::size_t i);

    /// Completes an item in phase Scoring with its score; ignored in other phases.
    void acceptScore(std::size_t i, std::string score);

    /// Counts a 500 response to the reward call of an item. Terminates the item after the given number of attempts, because
    /// some texts can never be scored.
    void recordRewardError(std::size_t i, int attempts);

    /// Number of items in the same group whose text is incomplete.
    std::size_t unfinishedInGroup(std::size_t i) const
    {
        return m_groups[m_groupOf[i]].unfinished;
    }

    /// Whether the results of all groups that the trainer waits for are final.
    bool areWantedGroupsDecided() const
    {
        return hasWantedGroups(&GroupProgress::undecided);
    }

    /// Whether the results of all groups that the trainer waits for are listed, so that it may end the batch.
    bool areWantedGroupsListed() const
    {
        return hasWantedGroups(&GroupProgress::unlisted);
    }

    /// Index of an item; empty if the batch has no item with this id.
    std::optional<std::size_t> indexOf(const std::string &id) const;

    /// Counts a 500 response to a run of an item. Terminates the item after as many attempts as the route allows.
    void recordServerError(std::size_t i, const BatchRules &rules);

    void terminate(std::size_t i);

    /// Terminates the undecided items that can't be sent to an endpoint. Gateways reject a batch with such an item; those of earlier
    /// releases did not. Returns the items and what is wrong with them.
    std::vector<InvalidItem> terminateInvalidItems();

    /// Returns a running item to the queue; its next run continues after its last event.
    void requeue(std::size_t i, const std::string &avoidedEndpoint, Timestamp notBefore);

    /// Terminates all undecided items once the retention time of the route has passed since the submission. Returns the
    /// items that were running.
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
    /// Ids of the items whose results are listed, in order of position.
    const std::vector<std::string> &listed() const
    {
        return m_listed;
    }

    /// Number of waiting items that may start now.
    std::size_t waitingCount(Timestamp now) const;

    /// Whether decided results are not listed yet.
    bool hasPending() const
    {
        return !m_pending.empty();
    }

    /// The next results to list: at most maxBytes as encoded for the store, but at least one result if any is pending.
    std::vector<ItemResult> nextResults(std::size_t maxBytes) const;

    /// Marks the first n pending results as listed.
    void markListed(std::size_t n);

    /// Frees the bodies, the header fields and the reward requests of all items, which are not sent any more. To be called once all results
    /// are listed.
    void freeRequests();

    /// Texts generated so far for undecided items, longest first, at most maxBytes in total.
    std::vector<ResumableText> progressTexts(std::size_t maxBytes) const;

    /// Texts that a later batch with the same items can resume: those in groups that the trainer may see as incomplete.
    std::vector<ResumableText> resumableTexts() const;

private:
    /// How many items of a group have not reached a state yet.
    struct GroupProgress {
        std::size_t unfinished = 0;
        std::size_t undecided = 0;
        std::size_t unlisted = 0;
        /// The trainer waits for this group whichever others are complete.
        bool isCarried = false;
    };

    /// Returns the first of the texts, which bear the id of the item, that was generated for it; null if there is none.
    const ResumableText *firstTextOf(std::size_t i, const std::vector<const ResumableText *> &candidates) const;
    void decide(std::size_t i, ItemOutcome outcome, std::string score = {});
    void decrementUnfinished(std::size_t i);
    bool hasWantedGroups(std::size_t GroupProgress::*open) const;
    void discardText(ItemProgress &progress);

    BatchIndex m_index;
    BatchSubmission m_submission;
    std::vector<ItemProgress> m_progress;
    std::vector<std::size_t> m_order;
    std::unordered_map<std::string, std::size_t> m_indexOf;
    /// Index of each item's group in m_groups.
    std::vector<std::size_t> m_groupOf;
    std::vector<GroupProgress> m_groups;
    std::deque<ItemResult> m_pending;
    std::size_t m_decided = 0;
    std::size_t m_textBytes = 0;
    std::vector<std::string> m_listed;
};

}
