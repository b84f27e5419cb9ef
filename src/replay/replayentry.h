#pragma once

#include "limits/allowanceclient.h"
#include "limits/overloadguard.h"
#include "limits/retrybudget.h"
#include "replay/replayswitches.h"
#include "replay/trace.h"
#include "routing/router.h"

#include <cstddef>
#include <map>
#include <string>

namespace Basilbend
{

/// One entry of a replay: the real router and limits.
class ReplayEntry
{
public:
    ReplayEntry(std::string zone, const Trace &trace, const ReplaySwitches &switches, std::size_t entries, std::uint64_t seed);

    const std::string &zone() const;
    Router &router();
    const Router &router() const;
    OverloadGuard &guard();
    RetryBudget &retries();
    std::map<std::string, AllowanceClient> &allowances();

    /// Chooses an endpoint as the switches say.
    Result<std::string> choose(const RouteRequest &request, Timestamp now);

private:
    Result<std::string> chooseSimply(const RouteRequest &request);

    std::string m_zone;
    const ReplaySwitches &m_switches;
    Router m_router;
    OverloadGuard m_guard;
    RetryBudget m_retries;
    std::map<std::string, AllowanceClient> m_allowances;
    std::size_t m_turn = 0;
};

}
