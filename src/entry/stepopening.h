#pragma once

#include "base/result.h"
#include "steps/samplecursor.h"
#include "steps/step.h"

#include <optional>
#include <string>

namespace Basilbend
{

/// A caller's request to open a step. The id, the workspace and the deadline as a point in time are filled in by the entry.
struct StepOpening {
    Step step;

    /// Samples that the trainer has from an earlier step with the same groups, whose holders were all lost.
    std::optional<SampleCursor> reopened;
};

/// Reads and checks the body of POST /v1/steps.
Result<StepOpening> readStepOpening(const std::string &body, Timestamp now);

}
