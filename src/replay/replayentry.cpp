#include "replay/replayentry.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Basilbend
{

namespace Internal
{

static RouterSettings routerSettings(const ReplaySwitches &switches)
{
    RouterSettings settings;
    settings.ownCounts = switches.ownCounts;
    settings.zonePreference = switches.zonePreference;
    settings.prefixAffinity = switches.prefixAffinity;
    settings.outliers = switches.outliers;
    settings.startSlowly = switches.slowStart;
    return settings;
}

}

ReplayEntry::ReplayEntry(std::string zone, const Trace &trace, const ReplaySwitches &switches, std::size_t entries, std::uint64_t seed)
    : m_zone(std::move(zone))
    , m_switches(switches)
    , m_router(m_zone, Internal::routerSettings(switches), Random(seed))
    , m_guard(OverloadSettings{})
{
    for (const auto &workspace : trace.workspaces) {
        m_guard.setShare(workspace.name, static_cast<double>(workspace.share));
        const Allowance allowance{static_cast<double>(workspace.limit), 1};
        m_allowances.emplace(workspace.name, AllowanceClient(m_zone, allowance, entries, Timestamp(0)));
    }
}

const std::string &ReplayEntry::zone() const
{
    return m_zone;
}

Router &ReplayEntry::router()
{
    return m_router;
}

const Router &ReplayEntry::router() const
{
    return m_router;
}

OverloadGuard &ReplayEntry::guard()
{
    return m_guard;
}

RetryBudget &ReplayEntry::retries()
{
    return m_retries;
}

std::map<std::string, AllowanceClient> &ReplayEntry::allowances()
{
    return m_allowances;
}

Result<std::string> ReplayEntry::choose(const RouteRequest &request, Timestamp now)
{
    return m_switches.routing == ReplaySwitches::Routing::Router ? m_router.choose(request, now) : chooseSimply(request);
}

/// The baselines: round robin, or the least reported load.
Result<std::string> ReplayEntry::chooseSimply(const RouteRequest &request)
{
    std::vector<const LoadReport *> usable;
    for (const auto &row : m_router.table().rows()) {
        if (!row.unreachable && !row.report.leaving && row.report.policy == request.policy && row.report.version >= request.minimumVersion
            && request.exclude.count(row.report.endpoint) == 0) {
            usable.push_back(&row.report);
        }
    }
    if (usable.empty()) {
        return Error{ResultCode::NoEndpoint, "no endpoint", Execution::NotRun, Milliseconds(1000)};
    }
    if (m_switches.routing == ReplaySwitches::Routing::RoundRobin) {
        return usable[m_turn++ % usable.size()]->endpoint;
    }
    const auto load = [](const LoadReport *report) { return static_cast<double>(report->running + report->waiting) / static_cast<double>(report->capacity); };
    const auto least = std::min_element(usable.begin(), usable.end(), [&](const auto *a, const auto *b) { return load(a) < load(b); });
    return (*least)->endpoint;
}

}
