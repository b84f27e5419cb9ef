#include "scheduling/grouporder.h"

#include <algorithm>
#include <map>

namespace Basilbend
{

namespace
{

/// Items without a length hint are expected to generate this fraction of their maximum output.
constexpr std::uint64_t DefaultLengthDivisor = 4;

struct GroupRank {
    std::string name;
    bool isCarried = false;
    std::uint64_t longest = 0;
    std::vector<std::size_t> items;
};

std::vector<GroupRank> groupsOf(const BatchSubmission &submission, const std::set<std::string> &carried)
{
    std::vector<GroupRank> groups;
    std::map<std::string, std::size_t> indexOf;
    for (std::size_t i = 0; i < submission.items.size(); ++i) {
        const auto &item = submission.items[i];
        const auto [it, isNew] = indexOf.emplace(item.group, groups.size());
        if (isNew) {
            groups.push_back({item.group, false, 0, {}});
        }
        auto &group = groups[it->second];
        group.isCarried = group.isCarried || carried.count(item.id) > 0;
        group.longest = std::max(group.longest, expectedOutput(item));
        group.items.push_back(i);
    }
    return groups;
}

}

std::uint64_t expectedOutput(const BatchItem &item)
{
    return item.lengthHint > 0 ? item.lengthHint : (item.tokens - item.promptTokens) / DefaultLengthDivisor;
}

std::vector<std::size_t> startOrder(const BatchSubmission &submission, const std::set<std::string> &carried)
{
    auto groups = groupsOf(submission, carried);
    // Shortest groups first, to select those that the trainer needs; carried groups are always needed.
    std::stable_sort(
        groups.begin(), groups.end(), [](const GroupRank &a, const GroupRank &b) { return a.isCarried != b.isCarried ? a.isCarried : a.longest < b.longest; });
    const auto desired = submission.desiredGroups == 0 ? groups.size() : std::min(submission.desiredGroups, groups.size());
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < desired; ++i) {
        order.insert(order.end(), groups[i].items.begin(), groups[i].items.end());
    }
    std::stable_sort(order.begin(), order.end(), [&submission](std::size_t a, std::size_t b) {
        return expectedOutput(submission.items[a]) > expectedOutput(submission.items[b]);
    });
    for (std::size_t i = desired; i < groups.size(); ++i) {
        order.insert(order.end(), groups[i].items.begin(), groups[i].items.end());
    }
    return order;
}

}
