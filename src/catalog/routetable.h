#pragma once

#include "catalog/serviceconfiguration.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Basilbend
{

/// Immutable lookup table for the routes, services and API keys of one version of the configuration.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(ServiceConfiguration configuration);

    std::uint64_t version() const
    {
        return m_configuration.version;
    }

    const ServiceConfiguration &configuration() const
    {
        return m_configuration;
    }

    /// Returns the route of the host with the longest matching path prefix, or null. The host may include a port.
    const RouteRule *find(std::string_view host, std::string_view path) const;

    const RouteRule *routeNamed(std::string_view name) const;
    const ServiceSpec *serviceNamed(std::string_view name) const;

    /// Returns the keys and restrictions of a workspace, or null.
    const WorkspaceKeys *workspaceNamed(const std::string &name) const;

    /// Returns the workspace to which the API key belongs, or null.
    const std::string *workspaceOfKey(std::string_view key) const;

    /// Whether routes that are not public require an API key.
    bool requiresApiKeys() const
    {
        return !m_configuration.workspaces.empty();
    }

private:
    ServiceConfiguration m_configuration;
    /// Indexes into the routes, sorted by descending prefix length.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesOfHost;
    std::map<std::string, std::size_t, std::less<>> m_indexOfRoute;
    std::unordered_map<std::string, std::size_t> m_workspaceOfKey;
    std::unordered_map<std::string, std::size_t> m_indexOfWorkspace;
};

}
