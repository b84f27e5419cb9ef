#pragma once

#include "base/result.h"
#include "limits/allowancegrant.h"
#include "limits/streamrate.h"
#include "limits/tokenbucket.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace Basilbend
{

/// One entry's part of a workspace's allowance. Without a live grant it uses the allowance divided by the number of entries,
/// but no more than its last grant until 3 s after the end of that grant: the others may still hold what it gave up.
class AllowanceClient
{
public:
    AllowanceClient(std::string entry, const Allowance &allowance, std::size_t entries, Timestamp now);

    /// Ignores a revision below the one in force.
    void setAllowance(const Allowance &allowance, Timestamp now);
    void setEntries(std::size_t entries, Timestamp now);

    /// Admits a request that is expected to generate this many tokens, or refuses it as RateLimited with the time to retry.
    /// An allowance of zero means no limit.
    Result<void> admit(double expectedTokens, Timestamp now);

    /// Corrects an admitted request once its tokens are known.
    void settle(double expectedTokens, double generatedTokens, Timestamp now);

    /// The demand to send now. The grant that answers it counts from this moment.
    AllowanceDemand demand(Timestamp now);

    /// Takes the answer to the demand that was sent at this time; older grants than the one held are dropped.
    void apply(const AllowanceGrant &grant, Timestamp demandSentAt, Timestamp now);

    /// Tokens per second in force.
    double rate(Timestamp now) const;

private:
    void refresh(Timestamp now);

    std::string m_entry;
    Allowance m_allowance;
    std::size_t m_entries;
    TokenBucket m_bucket;
    std::optional<AllowanceGrant> m_grant;
    Timestamp m_grantUntil;
    std::uint64_t m_holding = 0;
    DecayingSum m_asked;
};

}
