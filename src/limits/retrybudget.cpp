#include "limits/retrybudget.h"

#include <algorithm>

namespace Basilbend
{

namespace Internal
{

constexpr int FirstAttemptsPerRetry = 10;
constexpr int LargestBalance = 20 * FirstAttemptsPerRetry;

}

void RetryBudget::recordFirstAttempt(const std::string &route)
{
    auto &balance = m_balance.try_emplace(route, Internal::FirstAttemptsPerRetry).first->second;
    balance = std::min(balance + 1, Internal::LargestBalance);
}

bool RetryBudget::tryRetry(const std::string &route)
{
    auto &balance = m_balance.try_emplace(route, Internal::FirstAttemptsPerRetry).first->second;
    if (balance < Internal::FirstAttemptsPerRetry) {
        return false;
    }
    balance -= Internal::FirstAttemptsPerRetry;
    return true;
}

}
