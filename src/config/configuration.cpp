#include "config/configuration.h"

#include <tuple>

namespace Basilbend
{

bool operator==(const Plan &a, const Plan &b)
{
    return std::tie(a.name, a.tokensPerSecond, a.requestsPerSecond, a.share) == std::tie(b.name, b.tokensPerSecond, b.requestsPerSecond, b.share);
}

bool operator==(const Access &a, const Access &b)
{
    return std::tie(a.plan, a.policies, a.routes, a.minimumVersions) == std::tie(b.plan, b.policies, b.routes, b.minimumVersions);
}

bool operator==(const Workspace &a, const Workspace &b)
{
    return std::tie(a.name, a.plan) == std::tie(b.name, b.plan);
}

bool operator==(const KeyRecord &a, const KeyRecord &b)
{
    return std::tie(a.id, a.digest, a.workspace, a.withdrawn) == std::tie(b.id, b.digest, b.workspace, b.withdrawn);
}

bool operator==(const Route &a, const Route &b)
{
    return std::tie(a.name, a.open, a.repeatableMethods) == std::tie(b.name, b.open, b.repeatableMethods);
}

bool operator==(const Configuration &a, const Configuration &b)
{
    return std::tie(a.revision, a.plans, a.access, a.workspaces, a.keys, a.routes, a.listRevisions)
        == std::tie(b.revision, b.plans, b.access, b.workspaces, b.keys, b.routes, b.listRevisions);
}

}
