#pragma once

#include "billing/usagecounts.h"
#include "http/httpmessage.h"

#include <cstdint>
#include <string>

namespace Basilbend
{

/// Creates the usage report of one billing window. The host is the address of the platform.
RequestMessage makeUsageReport(const std::string &host, const std::string &holder, std::uint64_t fencingToken, std::int64_t window, const UsageCounts &counts);

}
