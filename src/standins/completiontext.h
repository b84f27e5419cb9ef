#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Basilbend
{

/// The completion that engines give for a prompt and a seed. It depends on nothing else, so that a check can compare whole
/// answers, also across resumes and weight versions. A token is a word followed by a space; lengths are heavy-tailed.
class CompletionText
{
public:
    CompletionText(std::string_view prompt, std::uint64_t seed);

    /// Tokens until the model stops by itself, at least 1.
    std::uint64_t length() const;

    std::string token(std::uint64_t index) const;

    /// The first tokens, at most maxTokens.
    std::string text(std::uint64_t maxTokens) const;

    /// Words of a text, for prompts and completions.
    static std::uint64_t countTokens(std::string_view text);

private:
    std::uint64_t m_hash;
};

}
