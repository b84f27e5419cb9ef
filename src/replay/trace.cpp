#include "replay/trace.h"

#include <algorithm>
#include <set>

namespace Basilbend
{

double TracePool::fullStreamRate() const
{
    return static_cast<double>(streamRate) / (1 + static_cast<double>(engineBound - 1) / static_cast<double>(halfBatch));
}

double TracePool::fullRate() const
{
    return fullStreamRate() * static_cast<double>(engineBound);
}

double TracePool::streamRateOf(std::uint64_t promptTokens, std::uint64_t tokens) const
{
    const auto generating = static_cast<double>(tokens) / fullStreamRate();
    const auto reading = static_cast<double>(engineBound * promptTokens) / static_cast<double>(prefillRate);
    return static_cast<double>(tokens) / (generating + reading);
}

double TracePool::promptWeight() const
{
    return fullRate() / static_cast<double>(prefillRate);
}

std::vector<std::string> Trace::zones() const
{
    std::set<std::string> names;
    for (const auto &pool : pools) {
        for (const auto &[zone, count] : pool.most) {
            names.insert(zone);
        }
    }
    return {names.begin(), names.end()};
}

const TracePool *Trace::pool(const std::string &policy) const
{
    const auto it = std::find_if(pools.begin(), pools.end(), [&](const TracePool &pool) { return pool.policy == policy; });
    return it == pools.end() ? nullptr : &*it;
}

}
