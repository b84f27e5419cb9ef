#pragma once

#include "base/timestamp.h"

#include <cstddef>
#include <vector>

namespace Basilbend
{

/// A finished text that waits for its reward call.
struct WaitingReward {
    /// Returned by orderRewards().
    std::size_t index = 0;
    /// Earlier calls for this text that returned no score.
    int failures = 0;
    /// Number of items in its group whose text is incomplete.
    std::size_t unfinishedInGroup = 0;
    /// Time at which the results of its batch are due.
    Timestamp dueAt;
};

/// Order in which reward calls are sent when the texts of a step finish together and the services have few slots. Texts
/// that have failed come last, because some can never be scored; then groups with the fewest unfinished items come first,
/// because a trainer uses only complete groups; then the batch that is due first. Returns the indexes.
std::vector<std::size_t> orderRewards(std::vector<WaitingReward> waiting);

/// Number of reward calls that may run at one endpoint. The other slots are left to live requests, which use the same
/// services and need a response within a fraction of a second.
int maxRewardCalls(int slots);

/// Inputs for the time limit of a reward call.
struct RewardTiming {
    /// Latency that the operators expect of the route, and the longest time that they allow.
    Milliseconds latencyTarget{0};
    Milliseconds timeout{0};
    /// Calls for this text that timed out.
    int timeouts = 0;
    /// Time until the results of the batch are due; zero or negative if they are overdue.
    Milliseconds timeLeft{0};
};

/// Time after which a reward call is cancelled and repeated elsewhere. Twice the latency target, doubled after each
/// time-out, so that slow services are not called in vain forever. When the results are nearly due, at most half of the
/// remaining time, so that another endpoint can still be tried, but never less than twice the latency target.
Milliseconds rewardTimeLimit(const RewardTiming &timing);

}
