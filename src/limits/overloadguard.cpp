#include "limits/overloadguard.h"

#include <algorithm>

namespace Basilbend
{

namespace Internal
{

constexpr Milliseconds ShortRetry{250};

}

OverloadGuard::OverloadGuard(OverloadSettings settings)
    : m_settings(settings)
{
}

void OverloadGuard::setShare(const std::string &workspace, double share)
{
    m_accounts[workspace].share = share;
}

Result<void> OverloadGuard::admit(const std::string &workspace, Milliseconds expectedWait, Timestamp deadline, Timestamp now)
{
    const auto left = deadline - now;
    if (left <= Milliseconds(0) || expectedWait > left) {
        return Error{ResultCode::Overloaded,
                     "the expected wait of " + std::to_string(expectedWait.count()) + " ms exceeds the deadline",
                     Execution::NotRun,
                     std::max(Internal::ShortRetry, expectedWait - std::max(left, Milliseconds(0)))};
    }
    auto &account = m_accounts[workspace];
    const auto bound = static_cast<double>(m_settings.inFlightBound);
    double shares = 0;
    for (const auto &[name, other] : m_accounts) {
        shares += other.inFlight > 0 || &other == &account ? other.share : 0;
    }
    const auto overShare = static_cast<double>(account.inFlight) >= bound * account.share / shares;
    if (m_inFlight >= m_settings.inFlightBound || (overShare && static_cast<double>(m_inFlight) >= bound * m_settings.fairAbove)) {
        return Error{
            ResultCode::Overloaded, "the entry holds its bound of requests for the workspace", Execution::NotRun, std::max(Internal::ShortRetry, expectedWait)};
    }
    ++account.inFlight;
    ++m_inFlight;
    return boost::outcome_v2::success();
}

void OverloadGuard::finished(const std::string &workspace)
{
    auto &account = m_accounts[workspace];
    if (account.inFlight > 0) {
        --account.inFlight;
        --m_inFlight;
    }
}

std::size_t OverloadGuard::inFlight() const
{
    return m_inFlight;
}

}
