#pragma once

#include "base/timestamp.h"

#include <functional>

namespace Basilbend
{

/// Blocks SIGTERM and SIGINT in this thread and in those that it starts; to be called before any thread is started. Also
/// ignores SIGPIPE and raises the limit of open files to the hard limit.
void prepareProcess();

/// Waits for SIGTERM or SIGINT.
void waitForShutdownSignal();

/// Waits until the condition holds, SIGTERM or SIGINT arrives, or the time limit is reached. Returns whether the condition holds.
bool waitUntilDrained(const std::function<bool()> &isDrained, Milliseconds limit);

}
