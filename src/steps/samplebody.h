#pragma once

#include "versions/versionsegment.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

namespace Basilbend
{

/// The output of a sample, whole or so far, with the versions that produced it.
struct SampleBody {
    std::string text;
    std::uint64_t tokens = 0;
    VersionList versions;
    std::string finishReason;
};

inline bool operator==(const SampleBody &a, const SampleBody &b)
{
    return std::tie(a.text, a.tokens, a.versions, a.finishReason) == std::tie(b.text, b.tokens, b.versions, b.finishReason);
}

}
