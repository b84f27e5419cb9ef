#include "standins/prefixcache.h"

#include <cctype>
#include <iterator>
#include <xxhash.h>

namespace Basilbend
{

PrefixCache::PrefixCache(std::size_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{
}

std::vector<std::uint64_t> PrefixCache::blocksOf(std::string_view text)
{
    std::vector<std::uint64_t> blocks;
    std::size_t blockStart = 0;
    std::size_t words = 0;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool wordEnds = std::isspace(static_cast<unsigned char>(text[n])) != 0 && n > 0 && std::isspace(static_cast<unsigned char>(text[n - 1])) == 0;
        if (wordEnds && ++words == TokensPerBlock) {
            blocks.push_back(XXH3_64bits_withSeed(text.data() + blockStart, n - blockStart, blocks.empty() ? 0 : blocks.back()));
            blockStart = n;
            words = 0;
        }
    }
    return blocks;
}

std::size_t PrefixCache::match(const std::vector<std::uint64_t> &blocks)
{
    std::size_t held = 0;
    for (const auto block : blocks) {
        const auto it = m_blocks.find(block);
        if (it == m_blocks.end()) {
            break;
        }
        m_order.splice(m_order.end(), m_order, it->second);
        ++held;
    }
    return held;
}

void PrefixCache::insert(const std::vector<std::uint64_t> &blocks, Timestamp now)
{
    for (const auto block : blocks) {
        if (m_blocks.count(block) > 0) {
            continue;
        }
        if (m_blocks.size() >= m_maxBlocks) {
            const auto oldest = m_order.front();
            m_order.pop_front();
            m_blocks.erase(oldest);
            record(false, oldest, now);
        }
        m_order.push_back(block);
        m_blocks.emplace(block, std::prev(m_order.end()));
        record(true, block, now);
    }
}

void PrefixCache::clear()
{
    m_order.clear();
    m_blocks.clear();
}

std::size_t PrefixCache::size() const
{
    return m_blocks.size();
}

std::vector<PrefixCache::Event> PrefixCache::events(std::uint64_t after, Milliseconds lag, Timestamp now) const
{
    std::vector<Event> visible;
    for (auto n = static_cast<std::size_t>(after); n < m_events.size() && m_events[n].at + lag <= now; ++n) {
        visible.push_back(m_events[n]);
    }
    return visible;
}

void PrefixCache::record(bool stored, std::uint64_t block, Timestamp now)
{
    m_events.push_back({m_events.size() + 1, now, stored, block});
}

}
