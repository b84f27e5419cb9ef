#pragma once

#include "usage/usageadopter.h"
#include "usage/usagecollector.h"
#include "usage/usageledger.h"

namespace Basilbend
{

/// What an entry answers to a sidecar that hands on records: records of the entry's own incarnation go to its collector,
/// those of another one to the adopter.
UsagePushAnswer answerUsagePush(const UsagePush &push, UsageCollector &collector, UsageAdopter &adopter);

}
