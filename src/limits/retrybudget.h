#pragma once

#include <map>
#include <string>

namespace Basilbend
{

/// Retries may be at most a tenth of the first attempts of a route. Unused budget is kept up to 20 retries, so that a long
/// quiet time does not turn into a storm of retries; a route starts with one retry.
class RetryBudget
{
public:
    void recordFirstAttempt(const std::string &route);

    /// Takes one retry from the budget. False: the failure has to be reported instead.
    bool tryRetry(const std::string &route);

private:
    /// In tenths of a retry; whole numbers keep the sum exact.
    std::map<std::string, int> m_balance;
};

}
