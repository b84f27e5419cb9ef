#include "entry/callercheck.h"

#include "config/keydigest.h"

namespace Basilbend
{

namespace Internal
{

std::string callerKey(const HttpHeaders &headers)
{
    constexpr std::string_view Scheme = "bearer ";
    if (const auto it = headers.find("authorization"); it != headers.end()) {
        const auto &value = it->second;
        const auto matches = [&value, Scheme](std::size_t i) { return (value[i] | 0x20) == Scheme[i] || value[i] == Scheme[i]; };
        bool isBearer = value.size() > Scheme.size();
        for (std::size_t i = 0; isBearer && i < Scheme.size(); ++i) {
            isBearer = matches(i);
        }
        return isBearer ? value.substr(Scheme.size()) : std::string();
    }
    const auto it = headers.find("x-api-key");
    return it == headers.end() ? std::string() : it->second;
}

}

CallerCheck::CallerCheck(const Configuration &configuration, bool isFresh)
    : m_configuration(configuration)
    , m_isFresh(isFresh)
{
}

Result<Caller> CallerCheck::authenticate(const HttpHeaders &headers) const
{
    const auto key = Internal::callerKey(headers);
    if (key.empty()) {
        return Error{ResultCode::KeyMissing, "send the key as \"authorization: Bearer KEY\""};
    }
    if (!m_isFresh) {
        return Error{ResultCode::ConfigurationNotFresh, "this entry can't know whether the key was withdrawn", Execution::NotRun, Milliseconds(1000)};
    }
    auto digest = keyDigest(key);
    const auto it = m_configuration.keys.find(digest);
    if (it == m_configuration.keys.end()) {
        return Error{ResultCode::KeyUnknown, "the key is not known"};
    }
    if (it->second.withdrawn) {
        return Error{ResultCode::KeyWithdrawn, "the key " + it->second.id + " was withdrawn"};
    }
    const auto workspace = m_configuration.workspaces.find(it->second.workspace);
    if (workspace == m_configuration.workspaces.end()) {
        return Error{ResultCode::NotAllowedByPlan, "the workspace of the key has no plan"};
    }
    return Caller{workspace->first, workspace->second.plan, it->second.id, std::move(digest)};
}

const Access *CallerCheck::accessOf(const Caller &caller) const
{
    const auto it = m_configuration.access.find(caller.plan);
    return it == m_configuration.access.end() ? nullptr : &it->second;
}

Result<std::uint64_t> CallerCheck::allowPolicy(const Caller &caller, const std::string &policy) const
{
    const auto *access = accessOf(caller);
    if (access == nullptr || access->policies.count(policy) == 0) {
        return Error{ResultCode::NotAllowedByPlan, "the plan " + caller.plan + " does not allow the model " + policy};
    }
    const auto it = access->minimumVersions.find(policy);
    return it == access->minimumVersions.end() ? std::uint64_t{0} : it->second;
}

Result<Route> CallerCheck::allowRoute(const Caller &caller, const std::string &name) const
{
    const auto route = m_configuration.routes.find(name);
    if (route == m_configuration.routes.end()) {
        return Error{ResultCode::UnknownPath, "there is no route " + name};
    }
    const auto *access = accessOf(caller);
    if (access == nullptr || access->routes.count(name) == 0) {
        return Error{ResultCode::NotAllowedByPlan, "the plan " + caller.plan + " does not allow the route " + name};
    }
    return route->second;
}

const Route *CallerCheck::openRoute(const std::string &name) const
{
    const auto it = m_configuration.routes.find(name);
    return it != m_configuration.routes.end() && it->second.open ? &it->second : nullptr;
}

bool CallerCheck::isKeyValid(const std::string &digest) const
{
    const auto it = m_configuration.keys.find(digest);
    return it != m_configuration.keys.end() && !it->second.withdrawn;
}

}
