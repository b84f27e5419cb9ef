#pragma once

#include "catalog/systemview.h"
#include "daemon/daemonsettings.h"

namespace Basilbend
{

/// Returns how long the watches of a process's view wait.
/// keyBound: bound of the tightest promise that hangs on another operator key than the configuration.
ViewWatchSpans viewWatchSpansFor(const DaemonSettings &settings, Milliseconds keyBound);

}
