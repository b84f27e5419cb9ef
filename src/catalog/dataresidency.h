#pragma once

#include "catalog/serviceconfiguration.h"

#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// Decides in which regions the requests of a route and of a workspace may be processed. Either may name its allowed regions;
/// where both do, both lists apply.
class DataResidency
{
public:
    DataResidency() = default;
    /// regionOfZone: the region of each availability zone, by the name of the zone.
    explicit DataResidency(std::map<std::string, std::string> regionOfZone);

    /// Whether endpoints in the availability zone may get requests of the route and the workspace. workspace may be null. A zone
    /// whose region is unknown is allowed only where neither names any region.
    bool allows(const RouteRule &route, const WorkspaceKeys *workspace, const std::string &zone) const;

private:
    bool isListed(const std::vector<std::string> &allowedRegions, const std::string &zone) const;

    std::map<std::string, std::string> m_regionOfZone;
};

}
