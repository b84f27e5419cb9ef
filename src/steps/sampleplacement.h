#pragma once

#include "base/attemptid.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Basilbend
{

/// Where one attempt of a sample runs or ran.
struct PlacedAttempt {
    AttemptId attempt;
    std::string endpoint;
};

/// The attempts of a sample that another entry can attach to; empty when there are none.
struct SamplePlacement {
    std::uint32_t index = 0;
    std::vector<PlacedAttempt> attempts;
};

/// An attempt of a sample, as the target of a revocation or a release.
struct AttemptRef {
    std::uint32_t index = 0;
    AttemptId attempt;
    std::string endpoint;
};

/// What a StepTracker wants to be sent to sidecars. Losing one costs a wasted run or some memory until the step's deadline,
/// never a wrong delivery.
struct StepEffects {
    std::vector<AttemptRef> revocations;
    std::vector<AttemptRef> releases;
};

}
