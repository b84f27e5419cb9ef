#pragma once

#include "base/result.h"
#include "catalog/routetable.h"

#include <optional>
#include <string>

namespace Basilbend
{

/// How old the configuration may be while keyed requests are served.
struct FreshnessRule {
    /// A withdrawn key must not work longer than this after the store has acknowledged the withdrawal.
    Milliseconds withdrawalBound{5000};
    /// Room for clock resolution. The bound counts from the sending of a request, which is earlier than its arrival.
    Milliseconds margin{150};

    bool isFresh(std::optional<Timestamp> confirmedAt, Timestamp now) const
    {
        return confirmedAt && now - *confirmedAt <= withdrawalBound - margin;
    }
};

/// Whether a key may be used, and for which workspace. The text is empty when no route asks for keys.
/// Fails with KeyMissing or KeyUnknown (401), or ConfigurationNotFresh (503) when a withdrawal may have been missed.
Result<std::string> authenticateRequest(const RouteTable &routes, const std::string &apiKey, bool isFresh);

}
