#pragma once

#include <optional>
#include <string>

namespace Basilbend
{

/// The whole content of a file, or nothing when it can't be read.
std::optional<std::string> readTextFile(const std::string &fileName);

}
