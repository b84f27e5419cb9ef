#include "election/candidacyrule.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr std::size_t KeptLeaders = 8;

}

bool CandidacyRule::mayStand(
    const std::string &node, const std::vector<std::string> &recentLeaders, Timestamp startedAt, std::optional<Timestamp> lastLedAt, Timestamp now) const
{
    const auto it = std::find(recentLeaders.begin(), recentLeaders.end(), node);
    const bool nobodyBetween = it == recentLeaders.begin() || it == recentLeaders.end();
    if (nobodyBetween) {
        return true;
    }
    return now - lastLedAt.value_or(startedAt) >= turnGuard;
}

std::vector<std::string> withNewestLeader(const std::string &node, const std::vector<std::string> &recentLeaders)
{
    std::vector<std::string> leaders{node};
    std::copy_if(recentLeaders.begin(), recentLeaders.end(), std::back_inserter(leaders), [&node](const std::string &other) { return other != node; });
    leaders.resize(std::min(leaders.size(), KeptLeaders));
    return leaders;
}

}
