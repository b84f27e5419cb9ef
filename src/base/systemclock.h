#pragma once

#include "base/timestamp.h"

namespace Basilbend
{

/// Returns the time of the process clock: Unix time read once at the first call, then advanced by a monotonic clock that also
/// runs while the host is suspended. Later adjustments of the system time do not affect it.
Timestamp systemNow();

}
