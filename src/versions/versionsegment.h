#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

namespace Basilbend
{

/// A run of tokens that one weight version produced. firstToken counts from zero over the whole sample.
struct VersionSegment {
    std::uint64_t version = 0;
    std::uint64_t firstToken = 0;
};

inline bool operator==(const VersionSegment &a, const VersionSegment &b)
{
    return std::tie(a.version, a.firstToken) == std::tie(b.version, b.firstToken);
}

using VersionList = std::vector<VersionSegment>;

/// Adds a token run that starts at firstToken; a run of the version that came last only extends it.
inline void appendVersion(VersionList &list, std::uint64_t version, std::uint64_t firstToken)
{
    if (list.empty() || list.back().version != version) {
        list.push_back({version, firstToken});
    }
}

/// The lowest version in the list; the list must not be empty.
inline std::uint64_t oldestVersion(const VersionList &list)
{
    auto oldest = list.front().version;
    for (const auto &segment : list) {
        oldest = segment.version < oldest ? segment.version : oldest;
    }
    return oldest;
}

}
