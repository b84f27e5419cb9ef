#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace Basilbend
{

/// Identifies one attempt of a request across restarts of sender and receiver: the entry that sent it, the incarnation of that
/// entry, and a number that the incarnation uses only once. Text form "entry/incarnation/sequence".
struct AttemptId {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    std::string toString() const;
    /// Returns nothing when the text is not three non-empty parts of which the last two are numbers.
    static std::optional<AttemptId> fromString(std::string_view text);
};

inline bool operator==(const AttemptId &a, const AttemptId &b)
{
    return std::tie(a.entry, a.incarnation, a.sequence) == std::tie(b.entry, b.incarnation, b.sequence);
}
inline bool operator!=(const AttemptId &a, const AttemptId &b)
{
    return !(a == b);
}
inline bool operator<(const AttemptId &a, const AttemptId &b)
{
    return std::tie(a.entry, a.incarnation, a.sequence) < std::tie(b.entry, b.incarnation, b.sequence);
}

}
