#pragma once

#include "base/result.h"
#include "catalog/routetable.h"

#include <optional>
#include <string>

namespace Basilbend
{

/// What may be decided by a configuration of some age.
enum class ConfigurationTrust {
    /// A key may have been withdrawn since: no request with a key is served.
    Stale,
    /// Requests are served, but a route or key that is not known may have been added since.
    MayLackAdditions,
    /// What is not known does not exist.
    Current,
};

/// Maximum age of the configuration while requests with an API key are served, and while unknown routes and keys are refused for good.
struct FreshnessRule {
    /// Time from the metadata store's acknowledgement of a configuration after which no process may deny what it allows.
    Milliseconds configurationBound{2000};
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

    /// confirmedAt: as for isFresh().
    ConfigurationTrust trustIn(std::optional<Timestamp> confirmedAt, Timestamp now) const;
};

/// Checks the API key of a request and returns the key's workspace, or an empty string when no route requires keys.
/// Fails with KeyMissing or KeyUnknown (401), or with ConfigurationNotFresh (503) when a key's withdrawal may have been missed, or
/// when the key is not known but may have been added.
Result<std::string> authenticateRequest(const RouteTable &routes, const std::string &apiKey, ConfigurationTrust trust);

/// The rejection of a request that a newer configuration may allow.
Error configurationNotFresh();

}
