#include "routing/prefixindex.h"

namespace Basilbend
{

namespace Internal
{

constexpr Milliseconds HintValidity{30000};

}

PrefixIndex::PrefixIndex(std::size_t blocksPerEndpoint)
    : m_blocksPerEndpoint(blocksPerEndpoint)
{
}

void PrefixIndex::apply(const std::string &endpoint, const CacheEvent &event, Timestamp now)
{
    auto &holder = m_holders[endpoint];
    if (holder.lastNumber != 0 && event.number <= holder.lastNumber) {
        return;
    }
    if (holder.lastNumber != 0 && event.number != holder.lastNumber + 1) {
        holder.blocks.clear();
    }
    holder.lastNumber = event.number;
    if (!event.stored) {
        holder.blocks.erase(event.block);
    } else if (holder.blocks.size() < m_blocksPerEndpoint || holder.blocks.count(event.block) > 0) {
        holder.blocks[event.block] = now + Internal::HintValidity;
    }
}

void PrefixIndex::remove(const std::string &endpoint)
{
    m_holders.erase(endpoint);
}

void PrefixIndex::tick(Timestamp now)
{
    for (auto &[endpoint, holder] : m_holders) {
        for (auto it = holder.blocks.begin(); it != holder.blocks.end();) {
            it = it->second <= now ? holder.blocks.erase(it) : std::next(it);
        }
    }
}

std::string PrefixIndex::longestMatch(const std::vector<std::uint64_t> &blocks, Timestamp now) const
{
    std::string best;
    std::size_t longest = 0;
    for (const auto &[endpoint, holder] : m_holders) {
        std::size_t n = 0;
        for (const auto block : blocks) {
            const auto it = holder.blocks.find(block);
            if (it == holder.blocks.end() || it->second <= now) {
                break;
            }
            ++n;
        }
        if (n > longest) {
            longest = n;
            best = endpoint;
        }
    }
    return best;
}

}
