#pragma once

#include <optional>
#include <string>

namespace Basilbend
{

/// Returns the content of a file, or nothing when it can't be opened.
std::optional<std::string> readTextFile(const std::string &fileName);

}
