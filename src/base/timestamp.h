#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace Basilbend
{

/// A duration. All durations in the project are whole milliseconds.
using Milliseconds = std::chrono::milliseconds;

/// A point in time in milliseconds since the origin of its clock: the Unix epoch in real processes, whose clock never goes
/// back, and zero in replays. Decision code receives timestamps as arguments and never reads a clock.
class Timestamp
{
public:
    constexpr Timestamp() = default;
    constexpr explicit Timestamp(std::int64_t milliseconds)
        : m_milliseconds(milliseconds)
    {
    }

    /// Milliseconds since the origin of the clock.
    constexpr std::int64_t milliseconds() const
    {
        return m_milliseconds;
    }

    constexpr Timestamp operator+(Milliseconds span) const
    {
        return Timestamp(m_milliseconds + span.count());
    }
    constexpr Timestamp operator-(Milliseconds span) const
    {
        return Timestamp(m_milliseconds - span.count());
    }
    constexpr Milliseconds operator-(Timestamp other) const
    {
        return Milliseconds(m_milliseconds - other.m_milliseconds);
    }
    constexpr bool operator==(Timestamp other) const
    {
        return m_milliseconds == other.m_milliseconds;
    }
    constexpr bool operator!=(Timestamp other) const
    {
        return m_milliseconds != other.m_milliseconds;
    }
    constexpr bool operator<(Timestamp other) const
    {
        return m_milliseconds < other.m_milliseconds;
    }
    constexpr bool operator<=(Timestamp other) const
    {
        return m_milliseconds <= other.m_milliseconds;
    }
    constexpr bool operator>(Timestamp other) const
    {
        return m_milliseconds > other.m_milliseconds;
    }
    constexpr bool operator>=(Timestamp other) const
    {
        return m_milliseconds >= other.m_milliseconds;
    }

private:
    std::int64_t m_milliseconds = 0;
};

/// Returns the current time. Provided by the clock adapters and by fakes.
using NowFunction = std::function<Timestamp()>;

}
