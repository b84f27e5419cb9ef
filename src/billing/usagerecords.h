#pragma once

#include "billing/usagecounts.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Basilbend
{

/// How usage lies in the metadata store:
///   usage/count/WINDOW/WRITER   what one process counted, written once after the window's end
///   usage/sealed/WINDOW         the figures of the report; written once, before the report is sent for the first time
///   usage/reported              the newest window whose report the platform has taken
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
