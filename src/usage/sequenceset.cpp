#include "usage/sequenceset.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace Basilbend
{

bool SequenceSet::contains(std::uint64_t n) const
{
    const auto it = m_intervals.upper_bound(n);
    return it != m_intervals.begin() && std::prev(it)->second >= n;
}

void SequenceSet::insertRange(std::uint64_t first, std::uint64_t last)
{
    auto it = m_intervals.upper_bound(first);
    if (it != m_intervals.begin() && std::prev(it)->second + 1 >= first) {
        --it;
        first = it->first;
    }
    while (it != m_intervals.end() && it->first <= last + 1) {
        last = std::max(last, it->second);
        it = m_intervals.erase(it);
    }
    m_intervals.emplace(first, last);
}

bool SequenceSet::insert(std::uint64_t n)
{
    if (contains(n)) {
        return false;
    }
    insertRange(n, n);
    return true;
}

void SequenceSet::insert(const SequenceSet &other)
{
    for (const auto &[first, last] : other.m_intervals) {
        insertRange(first, last);
    }
}

void SequenceSet::erase(std::uint64_t n)
{
    if (!contains(n)) {
        return;
    }
    const auto it = std::prev(m_intervals.upper_bound(n));
    const auto [first, last] = *it;
    m_intervals.erase(it);
    if (first < n) {
        m_intervals.emplace(first, n - 1);
    }
    if (n < last) {
        m_intervals.emplace(n + 1, last);
    }
}

std::string SequenceSet::toString() const
{
    std::string text;
    std::uint64_t next = 0;
    for (const auto &[first, last] : m_intervals) {
        text += (text.empty() ? "" : ".") + std::to_string(first - next) + "." + std::to_string(last - first + 1);
        next = last + 1;
    }
    return text;
}

std::optional<SequenceSet> SequenceSet::fromString(std::string_view text)
{
    SequenceSet set;
    std::uint64_t next = 0;
    bool covered = false;
    const auto *it = text.data();
    const auto *const end = text.data() + text.size();
    while (it != end) {
        std::uint64_t n = 0;
        const auto [after, ec] = std::from_chars(it, end, n);
        if (ec != std::errc{} || n > std::numeric_limits<std::uint64_t>::max() - 1 - next || (covered && n == 0)) {
            return std::nullopt;
        }
        if (covered) {
            set.insertRange(next, next + n - 1);
        }
        next += n;
        covered = !covered;
        it = after;
        if (it != end && (*it != '.' || ++it == end)) {
            return std::nullopt;
        }
    }
    return covered ? std::nullopt : std::optional(set);
}

}
