#pragma once

#include "billing/usagecounts.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Basilbend
{

/// Layout of the usage data in the metadata store:
///   usage/count/WINDOW/WRITER   counts of one process, written once after the end of the window
///   usage/sealed/WINDOW         totals of the report, written once before the report is first sent
///   usage/reported              newest window whose report the platform has accepted
namespace UsageRecords
{
inline constexpr const char *Prefix = "usage/";
inline constexpr const char *SealedPrefix = "usage/sealed/";
inline constexpr const char *ReportedKey = "usage/reported";

std::string countPrefix(std::int64_t window);
std::string countKey(std::int64_t window, const std::string &writer);
std::string sealedKey(std::int64_t window);

std::string encodeCounts(const UsageCounts &counts);
std::optional<UsageCounts> decodeCounts(std::string_view text);
}

}
