#include "scheduling/rewardorder.h"

#include <algorithm>
#include <tuple>

namespace Basilbend
{

namespace
{

constexpr int RewardShareDivisor = 2;
constexpr int TargetLatencyFactor = 2;
constexpr int MaxDoublings = 6;

}

std::vector<std::size_t> orderRewards(std::vector<WaitingReward> waiting)
{
    std::stable_sort(waiting.begin(), waiting.end(), [](const WaitingReward &a, const WaitingReward &b) {
        return std::tie(a.failures, a.unfinishedInGroup, a.dueAt) < std::tie(b.failures, b.unfinishedInGroup, b.dueAt);
    });
    std::vector<std::size_t> order;
    order.reserve(waiting.size());
    for (const auto &reward : waiting) {
        order.push_back(reward.index);
    }
    return order;
}

int maxRewardCalls(int slots)
{
    return std::max(1, slots / RewardShareDivisor);
}

Milliseconds rewardTimeLimit(const RewardTiming &timing)
{
    const auto baseLimit = timing.latencyTarget * TargetLatencyFactor;
    auto limit = baseLimit * (1 << std::min(timing.timeouts, MaxDoublings));
    if (timing.timeLeft.count() > 0) {
        limit = std::min(limit, std::max(baseLimit, timing.timeLeft / 2));
    }
    return std::max(Milliseconds(1), std::min(limit, timing.timeout));
}

}
