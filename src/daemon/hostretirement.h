#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Basilbend
{

/// A host that the operator wants emptied, and the revision of that request.
using HostToEmpty = std::pair<std::string, std::uint64_t>;

/// Decides how the leader empties hosts. Hosts hold no persistent data, so a host without the leader is empty. The host of the leader
/// is empty once another process leads, which must not run on a host that is to be emptied as well. Until there is such a process, the
/// leader goes on, because nothing would run the open batches otherwise.
class HostRetirement
{
public:
    explicit HostRetirement(std::string ownHost);

    /// What the leader should do next.
    struct Plan {
        /// Hosts to be reported as empty.
        std::vector<HostToEmpty> emptyHosts;
        /// The leader's own host, if it is to be emptied.
        std::optional<HostToEmpty> ownHost;
        /// Whether the operator has not been told yet that the own host still runs the leader.
        bool mustReportRunning = false;
        /// The process to which the leadership should pass; empty if there is none or the leader stays.
        std::optional<std::string> successor;
    };

    /// hosts: the hosts that the operator wants emptied, with the revision of each request. offers: hosts whose processes offer to lead.
    Plan plan(const std::map<std::string, std::uint64_t> &hosts, const std::vector<std::string> &offers) const;

    /// Records that a report is on its way or stored.
    void markReported(const HostToEmpty &host);
    void markReportedRunning(const HostToEmpty &host);

    /// Records that a report has failed, so that it is planned again.
    void unmarkReported(const HostToEmpty &host);
    void unmarkReportedRunning(const HostToEmpty &host);

private:
    std::string m_ownHost;
    std::set<HostToEmpty> m_reported;
    std::set<HostToEmpty> m_reportedRunning;
};

}
