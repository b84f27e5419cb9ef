#pragma once

#include "catalog/serviceconfiguration.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Basilbend
{

/// Looks up what one version of the configuration says of a request. Immutable.
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

    /// The route of that host with the longest prefix of the path, or null. The host may carry a port.
    const RouteRule *find(std::string_view host, std::string_view path) const;

    const RouteRule *routeNamed(std::string_view name) const;
    const ServiceSpec *serviceNamed(std::string_view name) const;

    /// The workspace that holds the key, or null.
    const std::string *workspaceOfKey(std::string_view key) const;

    /// Whether requests need a key on routes that are not public.
    bool needsKeys() const
    {
        return !m_configuration.workspaces.empty();
    }

private:
    ServiceConfiguration m_configuration;
    /// Indexes into the routes, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesOfHost;
    std::unordered_map<std::string, std::size_t> m_workspaceOfKey;
};

}
