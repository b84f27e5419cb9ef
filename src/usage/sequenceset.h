#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Basilbend
{

/// A set of attempt numbers, kept as intervals: attempts end nearly in order, so there are few.
class SequenceSet
{
public:
    /// False when the number was already in the set.
    bool insert(std::uint64_t n);
    void insert(const SequenceSet &other);
    void erase(std::uint64_t n);
    bool contains(std::uint64_t n) const;
    bool isEmpty() const
    {
        return m_intervals.empty();
    }
    std::size_t intervals() const
    {
        return m_intervals.size();
    }

    /// Lengths of alternating runs from number zero, missing ones first: "1.15.1.1" is 1 to 15 and 17.
    std::string toString() const;
    /// Returns nothing when the text is malformed.
    static std::optional<SequenceSet> fromString(std::string_view text);

private:
    void insertRange(std::uint64_t first, std::uint64_t last);

    /// First number to last number of each interval; intervals neither touch nor overlap.
    std::map<std::uint64_t, std::uint64_t> m_intervals;
};

}
