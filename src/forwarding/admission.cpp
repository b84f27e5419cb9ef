#include "forwarding/admission.h"

namespace Basilbend
{

namespace
{

/// Retry-After of requests rejected for a stale configuration: by then the client reaches another process, or this process has
/// reached the metadata store again.
constexpr Milliseconds StaleConfigurationRetryAfter{500};

}

ConfigurationTrust FreshnessRule::trustIn(std::optional<Timestamp> confirmedAt, Timestamp now) const
{
    if (!isFresh(confirmedAt, now)) {
        return ConfigurationTrust::Stale;
    }
    return now - *confirmedAt <= configurationBound ? ConfigurationTrust::Current : ConfigurationTrust::MayLackAdditions;
}

Error configurationNotFresh()
{
    return Error{ResultCode::ConfigurationNotFresh, "the configuration may be out of date", Execution::NotRun, StaleConfigurationRetryAfter};
}

Result<std::string> authenticateRequest(const RouteTable &routes, const std::string &apiKey, ConfigurationTrust trust)
{
    if (!routes.requiresApiKeys()) {
        return std::string();
    }
    if (trust == ConfigurationTrust::Stale) {
        return configurationNotFresh();
    }
    const auto *workspace = apiKey.empty() ? nullptr : routes.workspaceOfKey(apiKey);
    if (workspace != nullptr) {
        return *workspace;
    }
    if (trust != ConfigurationTrust::Current) {
        return configurationNotFresh();
    }
    if (apiKey.empty()) {
        return Error{ResultCode::KeyMissing, "an API key is needed"};
    }
    return Error{ResultCode::KeyUnknown, "the API key is not known"};
}

}
