#pragma once

#include "billing/usagecounts.h"
#include "http/httpmessage.h"

#include <cstdint>
#include <string>

namespace Basilbend
{

/// The report of one window to the platform. The host is the platform's address.
RequestMessage makeUsageReport(const std::string &host, const std::string &holder, std::uint64_t fencingToken, std::int64_t window, const UsageCounts &counts);

}
