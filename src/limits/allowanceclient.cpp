#include "limits/allowanceclient.h"

#include <algorithm>
#include <utility>

namespace Basilbend
{

namespace Internal
{

/// DecayingSum covers 10 s.
constexpr double DemandWindowSeconds = 10;

}

AllowanceClient::AllowanceClient(std::string entry, const Allowance &allowance, std::size_t entries, Timestamp now)
    : m_entry(std::move(entry))
    , m_allowance(allowance)
    , m_entries(std::max<std::size_t>(1, entries))
    , m_bucket(allowance.tokensPerSecond / static_cast<double>(m_entries), now)
{
}

void AllowanceClient::setAllowance(const Allowance &allowance, Timestamp now)
{
    if (allowance.revision >= m_allowance.revision) {
        m_allowance = allowance;
        refresh(now);
    }
}

void AllowanceClient::setEntries(std::size_t entries, Timestamp now)
{
    m_entries = std::max<std::size_t>(1, entries);
    refresh(now);
}

Result<void> AllowanceClient::admit(double expectedTokens, Timestamp now)
{
    if (m_allowance.tokensPerSecond <= 0) {
        return boost::outcome_v2::success();
    }
    m_asked.add(expectedTokens, now);
    refresh(now);
    if (m_bucket.tryTake(expectedTokens, now)) {
        return boost::outcome_v2::success();
    }
    return Error{ResultCode::RateLimited, "the workspace has used its tokens per second", Execution::NotRun, m_bucket.timeUntil(expectedTokens, now)};
}

void AllowanceClient::settle(double expectedTokens, double generatedTokens, Timestamp now)
{
    if (m_allowance.tokensPerSecond > 0) {
        refresh(now);
        m_bucket.charge(generatedTokens - expectedTokens, now);
    }
}

AllowanceDemand AllowanceClient::demand(Timestamp now)
{
    return {m_entry, m_asked.value(now) / Internal::DemandWindowSeconds, m_holding, m_allowance};
}

void AllowanceClient::apply(const AllowanceGrant &grant, Timestamp demandSentAt, Timestamp now)
{
    if (grant.number <= m_holding) {
        return;
    }
    m_holding = grant.number;
    m_grant = grant;
    m_grantUntil = demandSentAt + GrantValidity;
    setAllowance(grant.allowance, now);
    refresh(now);
}

double AllowanceClient::rate(Timestamp now) const
{
    if (m_grant && now < m_grantUntil) {
        return std::min(m_grant->tokensPerSecond, m_allowance.tokensPerSecond);
    }
    const auto evenPart = m_allowance.tokensPerSecond / static_cast<double>(m_entries);
    if (m_grant && now < m_grantUntil + GrantValidity) {
        return std::min(m_grant->tokensPerSecond, evenPart);
    }
    return evenPart;
}

void AllowanceClient::refresh(Timestamp now)
{
    const auto current = rate(now);
    if (current != m_bucket.rate()) {
        m_bucket.setRate(current, now);
    }
}

}
