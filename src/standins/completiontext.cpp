#include "standins/completiontext.h"

#include "base/random.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <xxhash.h>

namespace Basilbend
{

namespace Internal
{

// A Pareto tail of this exponent has a finite mean but puts about a tenth of all tokens into the longest hundredth of the samples.
constexpr double TailExponent = 1.6;
constexpr double ShortestLength = 12;
constexpr double LongestLength = 1500;

}

CompletionText::CompletionText(std::string_view prompt, std::uint64_t seed)
    : m_hash(XXH3_64bits_withSeed(prompt.data(), prompt.size(), seed))
{
}

std::uint64_t CompletionText::length() const
{
    const double u = 1.0 - Random(m_hash).unit();
    return static_cast<std::uint64_t>(std::min(Internal::LongestLength, Internal::ShortestLength * std::pow(u, -1.0 / Internal::TailExponent)));
}

std::string CompletionText::token(std::uint64_t index) const
{
    constexpr const char *Syllables[] = {"ba", "si", "lo", "ver", "tan", "mi", "ke", "ro", "du", "na", "fi", "gel", "po", "ru", "sa", "te"};
    auto bits = XXH3_64bits_withSeed(&index, sizeof(index), m_hash);
    std::string word;
    for (std::uint64_t n = 0; n <= (bits >> 60) % 3; ++n) {
        word += Syllables[(bits >> (4 * n)) & 15];
    }
    return word + ' ';
}

std::string CompletionText::text(std::uint64_t maxTokens) const
{
    std::string all;
    const auto count = std::min(length(), maxTokens);
    for (std::uint64_t n = 0; n < count; ++n) {
        all += token(n);
    }
    return all;
}

std::uint64_t CompletionText::countTokens(std::string_view text)
{
    std::uint64_t count = 0;
    bool inWord = false;
    for (const char c : text) {
        const bool space = std::isspace(static_cast<unsigned char>(c)) != 0;
        count += (!space && !inWord) ? 1 : 0;
        inWord = !space;
    }
    return count;
}

}
