#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// Returns the first count candidates (or all, if fewer) in rendezvous-hash order for the key. Removing a candidate changes only
/// the selections that contain it, and all processes with the same candidates make the same selection.
std::vector<std::string> rendezvousOrder(std::string_view key, const std::vector<std::string> &candidates, std::size_t count);

}
