#pragma once

#include "base/timestamp.h"

#include <cstddef>
#include <vector>

namespace Basilbend
{

/// A finished text that waits for its reward call.
struct WaitingReward {
    /// Handed back by orderRewards().
    std::size_t index = 0;
    /// Earlier calls for this text that brought no score.
    int failures = 0;
    /// Items of its group whose text is not whole yet.
    std::size_t unfinishedInGroup = 0;
    /// When the results of its batch are due.
    Timestamp dueAt;
};

/// The order in which reward calls go out when the texts of a step end together and the services have few slots. Texts that
/// failed come behind the others, because some can never be scored; then the groups that lack least, because a trainer uses
/// whole groups only; then the batch that is due first. Returns the indexes.
std::vector<std::size_t> orderRewards(std::vector<WaitingReward> waiting);

/// How many reward calls may run at one endpoint. The other slots are left to live clients, which use the same services and
/// wait for an answer within a fraction of a second.
int rewardSlots(int slots);

/// How long a reward call may take before it is given up and tried elsewhere.
struct RewardTiming {
    /// What the operators expect of the route, and the longest time that they allow.
    Milliseconds latencyTarget{0};
    Milliseconds timeout{0};
    /// Calls for this text that were not answered in time.
    int unanswered = 0;
    /// Time until the results of the batch are due; not positive: they are late.
    Milliseconds left{0};
};

/// Twice the latency target, and twice as long after each unanswered call, so that slow services are not asked in vain for
/// ever. When the step is about to be due, at most half of what is left, so that another endpoint can still be asked.
Milliseconds rewardTimeLimit(const RewardTiming &timing);

}
