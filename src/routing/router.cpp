#include "routing/router.h"

#include <algorithm>
#include <xxhash.h>

namespace Basilbend
{

namespace Internal
{

/// Another zone has to be lighter by this much, so that requests do not cross zones for a small difference.
constexpr double SpillMargin = 0.1;
constexpr double LeastRamp = 0.1;

}

Router::Router(std::string zone, RouterSettings settings, Random random)
    : m_zone(std::move(zone))
    , m_settings(settings)
    , m_random(random)
    , m_outliers(OutlierSettings{})
{
}

Result<std::string> Router::choose(const RouteRequest &request, Timestamp now)
{
    std::vector<Candidate> all;
    if (request.preferredVersion > request.minimumVersion) {
        all = candidates(request, now, true, false);
        const auto roomLeft = std::any_of(all.begin(), all.end(), [](const Candidate &candidate) { return candidate.load < 1; });
        if (!roomLeft) {
            all.clear();
        }
    }
    if (all.empty()) {
        all = candidates(request, now, false, false);
    }
    if (all.empty()) {
        all = candidates(request, now, false, true);
    }
    if (all.empty()) {
        return Error{ResultCode::NoEndpoint, "no endpoint serves " + request.policy + " at the required version", Execution::NotRun, Milliseconds(1000)};
    }
    if (const auto *candidate = affine(request, all)) {
        return candidate->row->report.endpoint;
    }
    std::vector<const Candidate *> local;
    std::vector<const Candidate *> remote;
    for (const auto &candidate : all) {
        auto &list = !m_settings.zonePreference || candidate.row->report.zone == m_zone ? local : remote;
        list.push_back(&candidate);
    }
    if (local.empty()) {
        return lighterOfTwo(remote).row->report.endpoint;
    }
    const auto &near = lighterOfTwo(local);
    if (near.load <= m_settings.spillLoad || remote.empty()) {
        return near.row->report.endpoint;
    }
    const auto &far = lighterOfTwo(remote);
    return (far.load + Internal::SpillMargin < near.load ? far : near).row->report.endpoint;
}

EndpointTable &Router::table()
{
    return m_table;
}

const EndpointTable &Router::table() const
{
    return m_table;
}

OutlierDetector &Router::outliers()
{
    return m_outliers;
}

void Router::tick(Timestamp now)
{
    m_meanLoad = m_table.meanLoad(now);
    if (m_settings.outliers) {
        for (const auto &endpoint : m_outliers.evaluate(now)) {
            m_table.restartSlowly(endpoint, now);
        }
    }
}

Milliseconds Router::shortestWait(const std::string &policy) const
{
    std::optional<Milliseconds> shortest;
    for (const auto &row : m_table.rows()) {
        if (row.report.policy == policy && !row.unreachable && !row.report.leaving) {
            shortest = std::min(shortest.value_or(row.report.expectedWait), row.report.expectedWait);
        }
    }
    return shortest.value_or(Milliseconds(0));
}

/// The report contains our own requests of that time; those sent since are added from our own counts.
double Router::loadOf(const EndpointTable::Row &row, Timestamp now) const
{
    const auto capacity = static_cast<double>(row.report.capacity);
    auto load = row.report.load();
    if (m_settings.ownCounts) {
        load += static_cast<double>(row.sentSinceReport) / capacity;
    }
    const auto age = now - row.reportedAt;
    if (age > m_settings.freshReport) {
        const auto trust = static_cast<double>(m_settings.freshReport.count()) / static_cast<double>(age.count());
        load = std::max(trust * load + (1 - trust) * m_meanLoad, static_cast<double>(row.inFlight) / capacity);
    }
    const auto since = now - row.firstSeen;
    if (m_settings.startSlowly && since < m_settings.slowStart) {
        const auto ramp = static_cast<double>(since.count()) / static_cast<double>(m_settings.slowStart.count());
        load /= std::max(Internal::LeastRamp, ramp);
    }
    return load;
}

std::vector<Router::Candidate> Router::candidates(const RouteRequest &request, Timestamp now, bool preferredOnly, bool ignoreOutliers) const
{
    const auto version = preferredOnly ? request.preferredVersion : request.minimumVersion;
    std::vector<Candidate> list;
    list.reserve(m_table.rows().size());
    for (const auto &row : m_table.rows()) {
        const auto usable = !row.unreachable && !row.report.leaving && row.report.version >= version && row.report.policy == request.policy
            && (request.exclude.empty() || request.exclude.count(row.report.endpoint) == 0);
        if (usable && (ignoreOutliers || !m_settings.outliers || m_outliers.outCount() == 0 || !m_outliers.isOut(row.report.endpoint))) {
            list.push_back({&row, loadOf(row, now)});
        }
    }
    return list;
}

/// The endpoint that holds the prefix, else the first in rendezvous order for it, unless its load is above the bound.
const Router::Candidate *Router::affine(const RouteRequest &request, const std::vector<Candidate> &candidates) const
{
    if (!m_settings.prefixAffinity || (request.prefix == 0 && request.cachedAt.empty())) {
        return nullptr;
    }
    double sum = 0;
    const Candidate *best = nullptr;
    XXH64_hash_t bestScore = 0;
    for (const auto &candidate : candidates) {
        sum += candidate.load;
        const auto &name = candidate.row->report.endpoint;
        if (name == request.cachedAt) {
            best = &candidate;
            bestScore = ~XXH64_hash_t{0};
            continue;
        }
        const auto near = !m_settings.zonePreference || candidate.row->report.zone == m_zone;
        const auto score = near && request.prefix != 0 ? XXH3_64bits_withSeed(name.data(), name.size(), request.prefix) : 0;
        if (score > bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    const auto oneRequest = best ? 1 / static_cast<double>(best->row->report.capacity) : 0;
    const auto bound = m_settings.boundedLoad * (sum + oneRequest) / static_cast<double>(candidates.size());
    return best && best->load + oneRequest <= std::max(bound, oneRequest) ? best : nullptr;
}

const Router::Candidate &Router::lighterOfTwo(const std::vector<const Candidate *> &candidates)
{
    const auto first = m_random.below(candidates.size());
    if (candidates.size() == 1) {
        return *candidates.front();
    }
    const auto second = (first + 1 + m_random.below(candidates.size() - 1)) % candidates.size();
    const auto &a = *candidates[first];
    const auto &b = *candidates[second];
    return a.load <= b.load ? a : b;
}

}
