#pragma once

#include "base/result.h"
#include "config/configuration.h"
#include "net/httpserver.h"

#include <cstdint>
#include <string>

namespace Basilbend
{

/// A caller whose key was checked.
struct Caller {
    std::string workspace;
    std::string plan;
    std::string keyId;
    std::string keyDigest;
};

/// Checks callers against one snapshot of the configuration.
class CallerCheck
{
public:
    /// The configuration must outlive the check.
    CallerCheck(const Configuration &configuration, bool isFresh);

    /// Reads the key from "authorization: Bearer KEY" or "x-api-key". Errors: KeyMissing, KeyUnknown, KeyWithdrawn,
    /// NotAllowedByPlan for a workspace without a plan, ConfigurationNotFresh.
    Result<Caller> authenticate(const HttpHeaders &headers) const;

    /// Returns the lowest weight version that the plan allows; NotAllowedByPlan when it does not list the policy.
    Result<std::uint64_t> allowPolicy(const Caller &caller, const std::string &policy) const;

    /// Returns the route; UnknownPath when there is none of that name, NotAllowedByPlan when the plan does not list it.
    Result<Route> allowRoute(const Caller &caller, const std::string &name) const;

    /// An open route of that name, or null.
    const Route *openRoute(const std::string &name) const;

    /// True when the key of this digest still works.
    bool isKeyValid(const std::string &digest) const;

private:
    const Access *accessOf(const Caller &caller) const;

    const Configuration &m_configuration;
    bool m_isFresh;
};

}
