#include "catalog/dataresidency.h"

#include <algorithm>

namespace Basilbend
{

DataResidency::DataResidency(std::map<std::string, std::string> regionOfZone)
    : m_regionOfZone(std::move(regionOfZone))
{
}

bool DataResidency::allows(const RouteRule &route, const WorkspaceKeys *workspace, const std::string &zone) const
{
    return isListed(route.allowedRegions, zone) && (workspace == nullptr || isListed(workspace->allowedRegions, zone));
}

bool DataResidency::isListed(const std::vector<std::string> &allowedRegions, const std::string &zone) const
{
    if (allowedRegions.empty()) {
        return true;
    }
    const auto it = m_regionOfZone.find(zone);
    return it != m_regionOfZone.end() && std::find(allowedRegions.begin(), allowedRegions.end(), it->second) != allowedRegions.end();
}

}
