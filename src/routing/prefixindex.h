#pragma once

#include "base/timestamp.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Basilbend
{

/// A block that an engine stored in its cache or removed from it. Numbers of one engine grow by one.
struct CacheEvent {
    std::uint64_t number = 0;
    std::uint64_t block = 0;
    bool stored = true;
};

/// Which endpoint holds which prompt blocks, from the engines' cache events. It is a hint: entries end after 30 s, and a gap in
/// the numbers drops all entries of the endpoint.
class PrefixIndex
{
public:
    /// Holds at most this many blocks per endpoint; further ones are not recorded.
    explicit PrefixIndex(std::size_t blocksPerEndpoint);

    void apply(const std::string &endpoint, const CacheEvent &event, Timestamp now);
    void remove(const std::string &endpoint);

    /// Drops entries that have ended; once a second.
    void tick(Timestamp now);

    /// The endpoint that holds the longest run of blocks from the start of the prompt; empty when none holds the first.
    std::string longestMatch(const std::vector<std::uint64_t> &blocks, Timestamp now) const;

private:
    struct Holder {
        std::uint64_t lastNumber = 0;
        std::unordered_map<std::uint64_t, Timestamp> blocks;
    };

    std::size_t m_blocksPerEndpoint;
    std::map<std::string, Holder> m_holders;
};

}
