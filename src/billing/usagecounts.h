#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Basilbend
{

/// Requests of each workspace that began to run in one usage window.
using UsageCounts = std::map<std::string, std::uint64_t>;

}
