#pragma once

#include "base/timestamp.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace Basilbend
{

/// A clock that moves only when it is told to, with a queue of things to do. Things due at the same time run in the order
/// in which they were added, so a run repeats exactly.
class VirtualTime
{
public:
    explicit VirtualTime(Timestamp start = Timestamp());

    Timestamp now() const
    {
        return m_now;
    }

    /// Runs the function after the span; a span of zero means in the same millisecond, after what is already queued for it.
    void schedule(Milliseconds span, std::function<void()> function);

    /// Runs everything that is due until the given time and moves the clock there.
    void advanceTo(Timestamp time);
    void advance(Milliseconds span)
    {
        advanceTo(m_now + span);
    }

private:
    Timestamp m_now;
    std::uint64_t m_sequence = 0;
    std::map<std::pair<Timestamp, std::uint64_t>, std::function<void()>> m_queue;
};

}
