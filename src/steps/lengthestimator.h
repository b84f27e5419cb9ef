#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace Basilbend
{

/// Expected length of samples in tokens, per prompt, learned from finished samples of this and earlier steps.
class LengthEstimator
{
public:
    /// Remembers at most maxPrompts prompts; the one learned first is forgotten first.
    explicit LengthEstimator(std::size_t maxPrompts = 65536);

    void learn(std::uint64_t promptKey, std::uint64_t tokens);

    /// The mean of the prompt, or of all prompts when it is new, or unknownLength when nothing was learned.
    double expected(std::uint64_t promptKey, double unknownLength) const;

private:
    /// Weight of a new length. A prompt's lengths drift slowly as the policy learns.
    static constexpr double NewWeight = 0.2;

    std::size_t m_maxPrompts;
    std::unordered_map<std::uint64_t, double> m_means;
    std::deque<std::uint64_t> m_age;
    double m_mean = 0;
};

}
