#pragma once

#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// The set of samples of one step that a trainer has. Its text form is opaque to trainers: compressed, checksummed and
/// bound to the step, so that a cursor that was cut, altered or taken from another step is refused instead of losing samples.
class SampleCursor
{
public:
    /// Samples that a step may have: the text form of any set of them stays below the 16 KB that a request head may have.
    static constexpr std::size_t MaxSamples = 65536;

    /// An empty set over the indexes [0, size).
    explicit SampleCursor(std::size_t size = 0);

    /// The index must be below size().
    void insert(std::uint32_t index);
    void erase(std::uint32_t index);

    /// False for an index that is not below size().
    bool contains(std::uint32_t index) const;
    std::size_t count() const;
    std::size_t size() const;

    /// Adds the indexes of another set of the same size.
    void unite(const SampleCursor &other);

    /// Calls visit with each index that is here and not in other, in ascending order; both must have the same size.
    void forEachMissingIn(const SampleCursor &other, const std::function<void(std::uint32_t)> &visit) const;

    std::string encode(std::string_view stepId) const;

    /// Fails with CursorInvalid unless the text was made by encode() for the same step and size.
    static Result<SampleCursor> decode(std::string_view text, std::string_view stepId, std::size_t size);

private:
    /// Fails with CursorInvalid when a bit at or above the size is set.
    static Result<SampleCursor> fromWords(std::vector<std::uint64_t> words, std::size_t size);

    std::size_t m_size = 0;
    std::size_t m_count = 0;
    std::vector<std::uint64_t> m_words;

    friend bool operator==(const SampleCursor &a, const SampleCursor &b);
};

bool operator==(const SampleCursor &a, const SampleCursor &b);

}
