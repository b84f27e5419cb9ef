#pragma once

#include "steps/sampleplacement.h"
#include "steps/step.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Basilbend
{

/// What a holder keeps of a step that another entry runs: enough to take over. It may lag; a placement that is missing costs
/// a duplicate run, one that is outdated costs a question to a sidecar.
class StepCopy
{
public:
    explicit StepCopy(Step step);

    const Step &step() const;

    /// Applies numbered changes. Returns false when one before them is missing and the owner must send all placements;
    /// repeated ones are ignored.
    bool apply(std::uint64_t number, const std::vector<SamplePlacement> &changes);

    /// Replaces all placements; number is that of the last change they contain.
    void replace(std::uint64_t number, const std::vector<SamplePlacement> &placements);

    /// Number of the last change applied.
    std::uint64_t number() const;

    std::vector<SamplePlacement> placements() const;

private:
    void merge(const std::vector<SamplePlacement> &changes);

    Step m_step;
    std::uint64_t m_number = 0;
    std::map<std::uint32_t, std::vector<PlacedAttempt>> m_placements;
};

}
