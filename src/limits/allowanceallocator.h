#pragma once

#include "limits/allowancegrant.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// Divides the allowance of one workspace among the entries. The sum of the grants that are live, plus the fallback of each
/// entry that holds none, never exceeds the allowance. After a reduction this holds as soon as the older grants have ended.
class AllowanceAllocator
{
public:
    /// An allocator that takes over from another one grants nothing until the grants of its predecessor have ended. The
    /// epoch must be higher than the predecessor's.
    AllowanceAllocator(std::uint32_t epoch, Timestamp now, bool takesOver);

    /// Ignores a revision below the one in force.
    void setAllowance(const Allowance &allowance);

    /// The entries that serve callers; each one without a grant is assumed to use its even part.
    void setEntries(const std::vector<std::string> &entries);

    /// Returns the grant for one entry's demand. Grants nothing until all grants of the predecessor have expired.
    std::optional<AllowanceGrant> grant(const AllowanceDemand &demand, Timestamp now);

private:
    struct Outstanding {
        std::uint64_t number = 0;
        double tokensPerSecond = 0;
        Timestamp until;
    };
    struct Member {
        double demand = 0;
        std::uint64_t holding = 0;
        std::vector<Outstanding> grants;
    };

    double committedTo(const Member &member, Timestamp now) const;
    double fallback() const;
    double fairPart(const std::string &entry) const;

    std::uint64_t m_nextNumber;
    Timestamp m_grantsFrom;
    Allowance m_allowance;
    std::map<std::string, Member> m_members;
};

}
