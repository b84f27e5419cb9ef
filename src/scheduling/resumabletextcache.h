#pragma once

#include "scheduling/resumabletext.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace Basilbend
{

/// Cache of texts of ended batches whose items may be submitted again, bounded in number and bytes. Evicts the oldest
/// first.
class ResumableTextCache
{
public:
    static constexpr std::size_t MaxTexts = 1500;
    static constexpr std::size_t MaxBytes = 8 * 1024 * 1024;

    void add(std::vector<ResumableText> texts);
    void clear();

    /// All cached texts, oldest first.
    std::vector<ResumableText> all() const
    {
        return {m_texts.begin(), m_texts.end()};
    }

private:
    std::deque<ResumableText> m_texts;
    std::size_t m_bytes = 0;
};

}
