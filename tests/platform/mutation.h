#pragma once

#include "base/random.h"

#include <algorithm>
#include <string>

namespace Basilbend
{

/// Replaces, repeats, removes and inserts a few bytes of a text, as other processes might send them.
inline std::string mutate(std::string text, Random &random)
{
    static const std::string odd("\0\r\n :,\"{}[]\\\xff\x7f-9e", 17);
    const auto changes = 1 + random.below(6);
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const auto at = random.below(text.size());
        const auto length = std::min<std::size_t>(random.below(12), text.size() - at);
        switch (random.below(4)) {
        case 0:
            text[at] = odd[random.below(odd.size())];
            break;
        case 1:
            text.insert(at, text.substr(at, length));
            break;
        case 2:
            text.erase(at, length);
            break;
        default:
            text.insert(at, std::string(random.below(40), odd[random.below(odd.size())]));
            break;
        }
    }
    return text;
}

}
