#include "entry/endpointdirectory.h"

#include <algorithm>

namespace Basilbend
{

EndpointDirectory::EndpointDirectory(const std::string &zone, RouterSettings settings, Random random, Milliseconds forgetAfter)
    : m_forgetAfter(forgetAfter)
    , m_router(zone, settings, random)
{
}

void EndpointDirectory::apply(const EndpointReport &report, Timestamp now)
{
    const std::lock_guard lock(m_mutex);
    auto &known = m_known[report.node];
    if (known.report.incarnation != 0 && known.report.incarnation != report.incarnation) {
        m_router.table().remove(report.node);
        m_router.outliers().remove(report.node);
    }
    known = {report, now};
    LoadReport load;
    load.endpoint = report.node;
    load.zone = report.zone;
    load.policy = report.serves;
    load.version = report.version;
    load.capacity = std::max<std::size_t>(1, report.capacity);
    load.running = report.running;
    load.waiting = report.waiting;
    load.competing = report.competing;
    load.expectedWait = report.expectedWait;
    load.leaving = report.leaving || !report.inRotation;
    m_router.table().apply(load, now);
}

Result<ChosenEndpoint> EndpointDirectory::choose(const RunRequest &request, const std::set<std::string> &exclude, Timestamp now)
{
    const std::lock_guard lock(m_mutex);
    RouteRequest route;
    route.policy = request.target();
    route.minimumVersion = request.minimumVersion;
    route.preferredVersion = request.preferredVersion;
    route.prefix = request.prefixHash;
    route.exclude = exclude;
    const auto node = m_router.choose(route, now);
    if (!node) {
        return node.error();
    }
    const auto &report = m_known.at(node.value()).report;
    return ChosenEndpoint{report.node, report.address, report.incarnation, report.version};
}

void EndpointDirectory::started(const std::string &node)
{
    const std::lock_guard lock(m_mutex);
    m_router.table().requestStarted(node);
}

void EndpointDirectory::ended(const std::string &node)
{
    const std::lock_guard lock(m_mutex);
    m_router.table().requestFinished(node);
}

void EndpointDirectory::unreachable(const std::string &node)
{
    const std::lock_guard lock(m_mutex);
    m_router.table().markUnreachable(node);
}

void EndpointDirectory::observeSpeed(const std::string &node, double msPerToken)
{
    const std::lock_guard lock(m_mutex);
    m_router.outliers().observe(node, msPerToken);
}

void EndpointDirectory::firstAttempt(const std::string &target)
{
    const std::lock_guard lock(m_mutex);
    m_retries.recordFirstAttempt(target);
}

bool EndpointDirectory::takeRetry(const std::string &target)
{
    const std::lock_guard lock(m_mutex);
    return m_retries.tryRetry(target);
}

Milliseconds EndpointDirectory::shortestWait(const std::string &target) const
{
    const std::lock_guard lock(m_mutex);
    return m_router.shortestWait(target);
}

void EndpointDirectory::tick(Timestamp now)
{
    const std::lock_guard lock(m_mutex);
    for (auto it = m_known.begin(); it != m_known.end();) {
        if (now - it->second.at >= m_forgetAfter) {
            m_router.table().remove(it->first);
            m_router.outliers().remove(it->first);
            it = m_known.erase(it);
        } else {
            ++it;
        }
    }
    m_router.tick(now);
}

std::vector<std::string> EndpointDirectory::policies() const
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> names;
    for (const auto &[node, known] : m_known) {
        if (!known.report.isService) {
            names.insert(known.report.serves);
        }
    }
    return {names.begin(), names.end()};
}

std::vector<EndpointReport> EndpointDirectory::reports() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<EndpointReport> reports;
    reports.reserve(m_known.size());
    for (const auto &[node, known] : m_known) {
        reports.push_back(known.report);
    }
    return reports;
}

}
