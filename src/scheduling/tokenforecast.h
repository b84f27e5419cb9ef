#pragma once

#include <cstdint>
#include <vector>

namespace Basilbend
{

/// Tokens of one run in the memory of its endpoint: held now, and still to be generated.
struct TokenUse {
    std::uint64_t held = 0;
    std::uint64_t remaining = 0;
};

/// Forecasts the memory that the runs of one endpoint need together. Runs grow by one token at a time and release all their
/// memory at their end, so the peak is far below the sum of their final sizes.
class TokenForecast
{
public:
    void add(const TokenUse &use);

    /// Peak number of tokens held at any one time if a run is added and all runs generate at the same rate.
    std::uint64_t peakWith(const TokenUse &added) const;

private:
    /// In descending order of remaining tokens.
    std::vector<TokenUse> m_uses;
};

}
