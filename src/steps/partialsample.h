#pragma once

#include "steps/samplebody.h"

#include <string_view>

namespace Basilbend
{

/// Output received so far from a running attempt. Only the part whose versions are verified may be resumed from.
class PartialSample
{
public:
    /// Starts from output that an earlier attempt had received and verified.
    explicit PartialSample(SampleBody prefix = {});

    /// Appends tokens of one version; zero stands for one that is not known. A verified chunk also verifies everything before
    /// it, unless the version of a part is not known: what follows such a part can't be resumed from either.
    void append(std::string_view text, std::uint64_t tokens, std::uint64_t version, bool verified);

    const SampleBody &body() const;
    SampleBody verifiedBody() const;

private:
    SampleBody m_body;
    std::size_t m_verifiedBytes = 0;
    std::uint64_t m_verifiedTokens = 0;
    bool m_unknown = false;
};

}
