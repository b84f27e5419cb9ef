#include "catalog/routetable.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

std::string hostWithoutPort(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool isIpv6 = !host.empty() && host.back() == ']';
    std::string name(isIpv6 ? host : host.substr(0, std::min(colon, host.size())));
    std::transform(name.begin(), name.end(), name.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return name;
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

template <typename List>
auto itemNamed(const List &list, std::string_view name) -> const typename List::value_type *
{
    const auto it = std::find_if(list.begin(), list.end(), [name](const auto &item) { return item.name == name; });
    return it == list.end() ? nullptr : &*it;
}

}

RouteTable::RouteTable(ServiceConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    const auto &routes = m_configuration.routes;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        m_routesOfHost[hostWithoutPort(routes[i].host)].push_back(i);
        m_indexOfRoute.emplace(routes[i].name, i);
    }
    for (auto &[host, indexes] : m_routesOfHost) {
        std::stable_sort(
            indexes.begin(), indexes.end(), [&routes](std::size_t a, std::size_t b) { return routes[a].pathPrefix.size() > routes[b].pathPrefix.size(); });
    }
    for (std::size_t i = 0; i < m_configuration.workspaces.size(); ++i) {
        m_indexOfWorkspace.emplace(m_configuration.workspaces[i].workspace, i);
        for (const auto &key : m_configuration.workspaces[i].apiKeys) {
            m_workspaceOfKey.emplace(key, i);
        }
    }
}

const RouteRule *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto it = m_routesOfHost.find(hostWithoutPort(host));
    if (it == m_routesOfHost.end()) {
        return nullptr;
    }
    const auto &routes = m_configuration.routes;
    const auto match = std::find_if(it->second.begin(), it->second.end(), [&routes, path](std::size_t i) { return startsWith(path, routes[i].pathPrefix); });
    return match == it->second.end() ? nullptr : &routes[*match];
}

const RouteRule *RouteTable::routeNamed(std::string_view name) const
{
    const auto it = m_indexOfRoute.find(name);
    return it == m_indexOfRoute.end() ? nullptr : &m_configuration.routes[it->second];
}

const ServiceSpec *RouteTable::serviceNamed(std::string_view name) const
{
    return itemNamed(m_configuration.services, name);
}

const WorkspaceKeys *RouteTable::workspaceNamed(const std::string &name) const
{
    const auto it = m_indexOfWorkspace.find(name);
    return it == m_indexOfWorkspace.end() ? nullptr : &m_configuration.workspaces[it->second];
}

const std::string *RouteTable::workspaceOfKey(std::string_view key) const
{
    const auto it = m_workspaceOfKey.find(std::string(key));
    return it == m_workspaceOfKey.end() ? nullptr : &m_configuration.workspaces[it->second].workspace;
}

}
