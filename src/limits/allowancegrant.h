#pragma once

#include "base/timestamp.h"

#include <cstdint>
#include <string>

namespace Basilbend
{

/// How long a grant holds. The entry counts from the moment it sent its demand, the allocator from the moment it answered,
/// which is later; so a grant has ended at the entry before the allocator gives it to others, whatever their clocks show.
constexpr Milliseconds GrantValidity{3000};

/// The tokens per second of a workspace in force at a configuration revision.
struct Allowance {
    double tokensPerSecond = 0;
    std::uint64_t revision = 0;
};

/// Sent by each entry for each workspace every second.
struct AllowanceDemand {
    std::string entry;

    /// Tokens per second asked for by callers, refused ones included.
    double tokensPerSecond = 0;

    /// The newest grant that the entry has; older ones are not used any more.
    std::uint64_t holding = 0;

    /// What the entry knows; an allocator that is behind adopts it.
    Allowance allowance;
};

/// The part of an allowance that one entry may use.
struct AllowanceGrant {
    /// Grows with each grant of an allocator and from one allocator to the next.
    std::uint64_t number = 0;
    double tokensPerSecond = 0;
    Allowance allowance;
};

}
