#pragma once

#include "base/timestamp.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Basilbend
{

/// An engine's cache of prompt blocks: limited memory, least recently used blocks leave first. Changes are logged as
/// numbered events.
class PrefixCache
{
public:
    /// A change; sequence numbers are consecutive.
    struct Event {
        std::uint64_t sequence = 0;
        Timestamp at;
        bool stored = true;
        std::uint64_t block = 0;
    };

    static constexpr std::size_t TokensPerBlock = 16;

    explicit PrefixCache(std::size_t maxBlocks);

    /// Chained hashes of the full blocks of a text, so that equal prefixes have equal hashes.
    static std::vector<std::uint64_t> blocksOf(std::string_view text);

    /// How many leading blocks are held; marks them as used.
    std::size_t match(const std::vector<std::uint64_t> &blocks);
    void insert(const std::vector<std::uint64_t> &blocks, Timestamp now);
    void clear();
    std::size_t size() const;

    /// Events above the sequence number that are at least lag old.
    std::vector<Event> events(std::uint64_t after, Milliseconds lag, Timestamp now) const;

private:
    void record(bool stored, std::uint64_t block, Timestamp now);

    std::size_t m_maxBlocks;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::vector<Event> m_events;
};

}
