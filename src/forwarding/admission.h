#pragma once

#include "base/result.h"
#include "catalog/routetable.h"

#include <optional>
#include <string>

namespace Basilbend
{

/// Maximum age of the configuration while requests with an API key are served.
struct FreshnessRule {
    /// Time from the metadata store's acknowledgement of a key's withdrawal after which no process may accept the key.
    Milliseconds withdrawalBound{5000};
    /// Allowance for clock resolution. The age counts from the sending of the store request, which precedes its arrival at the
    /// store.
    Milliseconds clockMargin{150};

    /// confirmedAt: time up to which the configuration is known to be current; empty if it was never confirmed.
    bool isFresh(std::optional<Timestamp> confirmedAt, Timestamp now) const
    {
        return confirmedAt && now - *confirmedAt <= withdrawalBound - clockMargin;
    }
};

/// Checks the API key of a request and returns the key's workspace, or an empty string when no route requires keys.
/// Fails with KeyMissing or KeyUnknown (401), or with ConfigurationNotFresh (503) when the configuration is stale and a key's
/// withdrawal may have been missed.
Result<std::string> authenticateRequest(const RouteTable &routes, const std::string &apiKey, bool isFresh);

}
