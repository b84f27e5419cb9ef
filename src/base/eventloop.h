#pragma once

#include "base/timestamp.h"

#include <functional>

namespace Basilbend
{

/// Time and delayed calls, passed to everything that waits, so that tests can run it in virtual time.
struct EventLoop {
    std::function<Timestamp()> now;
    /// Runs a function once after the span, on the same thread.
    std::function<void(Milliseconds, std::function<void()>)> runAfter;
};

}
