#include "steps/step.h"

#include <numeric>
#include <xxhash.h>

namespace Basilbend
{

std::size_t Step::sampleCount() const
{
    const auto add = [](std::size_t n, const StepGroup &group) { return n + group.samples; };
    return std::accumulate(groups.begin(), groups.end(), std::size_t{0}, add);
}

std::string makeStepId(std::string_view unique, const std::vector<std::string> &holders)
{
    std::string id(unique);
    for (const auto &holder : holders) {
        id += '~';
        id += holder;
    }
    return id;
}

std::vector<std::string> stepHolders(std::string_view id)
{
    std::vector<std::string> holders;
    auto at = id.find('~');
    while (at != std::string_view::npos) {
        const auto end = id.find('~', at + 1);
        holders.emplace_back(id.substr(at + 1, end == std::string_view::npos ? end : end - at - 1));
        if (holders.back().empty()) {
            return {};
        }
        at = end;
    }
    return holders;
}

std::uint64_t promptKey(std::string_view prompt)
{
    return XXH3_64bits(prompt.data(), prompt.size());
}

}
