#include "forwarding/admission.h"

namespace Basilbend
{

namespace
{

/// When a client may come back: by then it reaches another process, or this one has reached the store.
constexpr Milliseconds StaleConfigurationRetryAfter{500};

}

Result<std::string> authenticateRequest(const RouteTable &routes, const std::string &apiKey, bool isFresh)
{
    if (!routes.needsKeys()) {
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
