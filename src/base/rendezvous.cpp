#include "base/rendezvous.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace Basilbend
{

std::vector<std::string> rendezvousOrder(std::string_view key, const std::vector<std::string> &candidates, std::size_t count)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    std::vector<std::pair<XXH64_hash_t, const std::string *>> scores;
    scores.reserve(candidates.size());
    for (const auto &candidate : candidates) {
        scores.emplace_back(XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed), &candidate);
    }
    const auto n = std::min(count, scores.size());
    const auto ranksBefore = [](const auto &a, const auto &b) { return a.first != b.first ? a.first > b.first : *a.second < *b.second; };
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(n), scores.end(), ranksBefore);
    std::vector<std::string> selected;
    selected.reserve(n);
    for (std::size_t i = 0; i < n; ++i) {
        selected.push_back(*scores[i].second);
    }
    return selected;
}

}
