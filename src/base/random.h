#pragma once

#include <cstdint>
#include <random>

namespace Basilbend
{

/// Seeded pseudo-random number generator. The same seed gives the same numbers with every compiler, which the distributions
/// of the standard library do not guarantee.
class Random
{
public:
    explicit Random(std::uint64_t seed);

    /// Returns an integer in [0, bound); bound must be at least 1.
    std::uint64_t below(std::uint64_t bound);

    /// Returns a number in [0, 1).
    double unit();

    /// Returns 64 random bits.
    std::uint64_t bits();

private:
    std::mt19937_64 m_engine;
};

}
