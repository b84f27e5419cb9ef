#pragma once

#include "base/result.h"
#include "steps/samplebody.h"
#include "steps/sampleplacement.h"
#include "steps/step.h"
#include "steps/steptracker.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Basilbend
{

/// The specification as it goes between entries. The deadline travels as the time that is left, so that entries need no
/// common clock.
nlohmann::json stepToJson(const Step &step, Timestamp now);
Result<Step> stepFromJson(const nlohmann::json &json, Timestamp now);

/// Placements in a compact form: tables of endpoints and of entry incarnations, then one short array per attempt.
nlohmann::json placementsToJson(const std::vector<SamplePlacement> &placements);
Result<std::vector<SamplePlacement>> placementsFromJson(const nlohmann::json &json);

nlohmann::json bodyToJson(const SampleBody &body);
Result<SampleBody> bodyFromJson(const nlohmann::json &json);

/// The answer to a fetch as the trainer gets it.
nlohmann::json fetchAnswerToJson(const FetchAnswer &answer, const std::string &stepId);
nlohmann::json progressToJson(const StepProgress &progress, const std::string &stepId);

}
