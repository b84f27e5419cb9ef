#include "daemon/hostretirement.h"

#include <algorithm>

namespace Basilbend
{

HostRetirement::HostRetirement(std::string ownHost)
    : m_ownHost(std::move(ownHost))
{
}

HostRetirement::Plan HostRetirement::plan(const std::map<std::string, std::uint64_t> &hosts, const std::vector<std::string> &offers) const
{
    Plan plan;
    for (const auto &host : hosts) {
        if (host.first == m_ownHost) {
            plan.ownHost = host;
            plan.mustReportRunning = m_reportedRunning.count(host) == 0;
        } else if (m_reported.count(host) == 0) {
            plan.emptyHosts.emplace_back(host);
        }
    }
    const auto it = std::find_if(offers.begin(), offers.end(), [this, &hosts](const auto &node) { return node != m_ownHost && hosts.count(node) == 0; });
    if (plan.ownHost && it != offers.end()) {
        plan.successor = *it;
    }
    return plan;
}

void HostRetirement::markReported(const HostToEmpty &host)
{
    m_reported.insert(host);
}

void HostRetirement::markReportedRunning(const HostToEmpty &host)
{
    m_reportedRunning.insert(host);
}

void HostRetirement::unmarkReported(const HostToEmpty &host)
{
    m_reported.erase(host);
}

void HostRetirement::unmarkReportedRunning(const HostToEmpty &host)
{
    m_reportedRunning.erase(host);
}

}
