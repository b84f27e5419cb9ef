#include "forwarding/admission.h"

namespace Basilbend
{

namespace
{

/// Retry-After of requests rejected for a stale configuration: by then the client reaches another process, or this process has
/// reached the metadata store again.
constexpr Milliseconds StaleConfigurationRetryAfter{500};

}

Result<std::string> authenticateRequest(const RouteTable &routes, const std::string &apiKey, bool isFresh)
{
    if (!routes.requiresApiKeys()) {
        return std::string();
    }
    if (!isFresh) {
        return Error{ResultCode::ConfigurationNotFresh, "the configuration may be out of date", Execution::NotRun, StaleConfigurationRetryAfter};
    }
    if (apiKey.empty()) {
        return Error{ResultCode::KeyMissing, "an API key is needed"};
    }
    const auto *workspace = routes.workspaceOfKey(apiKey);
    if (workspace == nullptr) {
        return Error{ResultCode::KeyUnknown, "the API key is not known"};
    }
    return *workspace;
}

}
