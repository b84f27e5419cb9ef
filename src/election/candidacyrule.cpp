#include "election/candidacyrule.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr std::size_t MaxRecentLeaders = 8;

}

bool CandidacyRule::isEligible(
    const std::string &node, const std::vector<std::string> &recentLeaders, Timestamp startedAt, std::optional<Timestamp> lastLedAt, Timestamp now) const
{
    const auto it = std::find(recentLeaders.begin(), recentLeaders.end(), node);
    const bool wasNotSucceeded = it == recentLeaders.begin() || it == recentLeaders.end();
    if (wasNotSucceeded) {
        return true;
    }
    return now - lastLedAt.value_or(startedAt) >= reelectionDelay;
}

std::vector<std::string> withNewestLeader(const std::string &node, const std::vector<std::string> &recentLeaders)
{
    std::vector<std::string> leaders{node};
    std::copy_if(recentLeaders.begin(), recentLeaders.end(), std::back_inserter(leaders), [&node](const std::string &other) { return other != node; });
    leaders.resize(std::min(leaders.size(), MaxRecentLeaders));
    return leaders;
}

}
