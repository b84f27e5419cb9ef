#pragma once

#include "base/timestamp.h"

namespace Basilbend
{

/// The process clock: Unix time read once at the first call, then advanced by a clock that never goes back and goes on while
/// the host is suspended. A later step of the time of day does not move it.
Timestamp systemNow();

}
