#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Basilbend
{

/// Number of requests that began to run in one usage window, by workspace.
using UsageCounts = std::map<std::string, std::uint64_t>;

}
