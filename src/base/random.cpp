#include "base/random.h"

namespace Basilbend
{

Random::Random(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t Random::below(std::uint64_t bound)
{
    return m_engine() % bound;
}

double Random::unit()
{
    constexpr int MantissaBits = 53;
    return static_cast<double>(m_engine() >> (64 - MantissaBits)) / static_cast<double>(std::uint64_t{1} << MantissaBits);
}

std::uint64_t Random::bits()
{
    return m_engine();
}

}
