#pragma once

#include "catalog/routetable.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Basilbend
{

enum class FindingSeverity {
    /// Something that the operator should know; nothing is wrong.
    Note,
    /// The system accepts it, but a part of it has no effect, or requests will be refused.
    Warning,
    /// The system does not accept the configuration.
    Error,
};

const char *findingSeverityName(FindingSeverity severity);

/// Something noteworthy about a configuration.
struct Finding {
    FindingSeverity severity = FindingSeverity::Warning;
    /// Identifies the kind of finding, for scripts.
    std::string code;
    /// Name of the route, service, workspace or key that it is about; empty for the whole configuration.
    std::string subject;
    std::string message;
};

inline bool operator==(const Finding &a, const Finding &b)
{
    return a.severity == b.severity && a.code == b.code && a.subject == b.subject && a.message == b.message;
}

/// Finds entries that can never match and limits that contradict each other, in a configuration that the system accepts; none is an error.
/// hostMemoryBytes: memory of the smallest host that serves clients; zero: not checked. The time is proportional to the configuration.
std::vector<Finding> checkConfiguration(const RouteTable &table, std::size_t hostMemoryBytes);

/// Describes what differs from the version in force, by meaning: routes, services, workspaces and keys that come, go or change, and
/// requests that will be refused or reach another service.
std::vector<Finding> compareConfigurations(const RouteTable &inForce, const RouteTable &next);

}
