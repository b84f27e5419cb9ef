#include "limits/allowanceallocator.h"

#include <algorithm>

namespace Basilbend
{

AllowanceAllocator::AllowanceAllocator(std::uint32_t epoch, Timestamp now, bool takesOver)
    : m_nextNumber((std::uint64_t{epoch} << 32) + 1)
    , m_grantsFrom(takesOver ? now + GrantValidity : now)
{
}

void AllowanceAllocator::setAllowance(const Allowance &allowance)
{
    if (allowance.revision >= m_allowance.revision) {
        m_allowance = allowance;
    }
}

void AllowanceAllocator::setEntries(const std::vector<std::string> &entries)
{
    std::map<std::string, Member> members;
    for (const auto &entry : entries) {
        members[entry] = std::move(m_members[entry]);
    }
    m_members = std::move(members);
}

std::optional<AllowanceGrant> AllowanceAllocator::grant(const AllowanceDemand &demand, Timestamp now)
{
    setAllowance(demand.allowance);
    const auto it = m_members.find(demand.entry);
    if (now < m_grantsFrom || it == m_members.end()) {
        return std::nullopt;
    }
    auto &member = it->second;
    member.demand = demand.tokensPerSecond;
    member.holding = demand.holding;
    auto &grants = member.grants;
    const auto ended = [&](const Outstanding &grant) { return grant.number < demand.holding || grant.until <= now; };
    grants.erase(std::remove_if(grants.begin(), grants.end(), ended), grants.end());

    double others = 0;
    for (const auto &[name, other] : m_members) {
        others += &other == &member ? 0 : committedTo(other, now);
    }
    const auto rate = std::max(0.0, std::min(fairPart(demand.entry), m_allowance.tokensPerSecond - others));
    grants.push_back({m_nextNumber, rate, now + GrantValidity});
    return AllowanceGrant{m_nextNumber++, rate, m_allowance};
}

/// An answer may have been lost, so the entry may still use any grant that has not ended. Until it reports that it holds a
/// live one, it may also use the fallback.
double AllowanceAllocator::committedTo(const Member &member, Timestamp now) const
{
    auto confirmed = false;
    double most = 0;
    for (const auto &grant : member.grants) {
        if (grant.until > now) {
            confirmed = confirmed || grant.number == member.holding;
            most = std::max(most, grant.tokensPerSecond);
        }
    }
    return confirmed ? most : std::max(most, fallback());
}

double AllowanceAllocator::fallback() const
{
    return m_allowance.tokensPerSecond / static_cast<double>(m_members.size());
}

/// Max-min division by demand; what nobody asks for is divided evenly, so that a first request needs no waiting.
double AllowanceAllocator::fairPart(const std::string &entry) const
{
    std::vector<double> demands;
    demands.reserve(m_members.size());
    for (const auto &[name, member] : m_members) {
        demands.push_back(member.demand);
    }
    std::sort(demands.begin(), demands.end());
    auto left = m_allowance.tokensPerSecond;
    auto level = 0.0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        level = left / static_cast<double>(demands.size() - i);
        if (demands[i] >= level) {
            return std::min(m_members.at(entry).demand, level);
        }
        left -= demands[i];
    }
    return m_members.at(entry).demand + left / static_cast<double>(demands.size());
}

}
