#pragma once

#include "base/timestamp.h"

#include <functional>

namespace Basilbend
{

/// Clock and timers. Passed to all code that waits, so that tests can run it in virtual time.
struct EventLoop {
    std::function<Timestamp()> now;
    /// Runs a function once after the given delay, on the same thread.
    std::function<void(Milliseconds, std::function<void()>)> runAfter;
};

}
