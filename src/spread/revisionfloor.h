#pragma once

#include <algorithm>
#include <cstdint>

namespace Basilbend
{

/// The highest configuration revision that a process has heard of from evidence (a stamp, or a configuration in force). A
/// configuration below it is never put in force, and a starting process is not ready below it.
class RevisionFloor
{
public:
    void raise(std::uint64_t revision)
    {
        m_floor = std::max(m_floor, revision);
    }
    std::uint64_t value() const
    {
        return m_floor;
    }
    bool isMet(std::uint64_t revision) const
    {
        return revision >= m_floor;
    }

private:
    std::uint64_t m_floor = 0;
};

}
