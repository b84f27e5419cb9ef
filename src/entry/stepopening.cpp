#include "entry/stepopening.h"

#include "config/jsonreader.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace Internal
{

constexpr std::uint64_t MaxTokens = 1000000;
constexpr std::uint64_t MaxDeadline = 3600000;
constexpr std::uint64_t MaxStaleness = 1000000;

Error malformed(std::string message)
{
    return {ResultCode::MalformedRequest, std::move(message)};
}

/// Takes the member out, since JsonReader knows plain fields only.
nlohmann::json take(nlohmann::json &object, const char *field)
{
    nlohmann::json value;
    const auto it = object.find(field);
    if (it != object.end()) {
        value = std::move(*it);
        object.erase(it);
    }
    return value;
}

Result<std::vector<StepGroup>> readGroups(const nlohmann::json &json)
{
    if (!json.is_array() || json.empty()) {
        return malformed("groups must be a list with at least one group");
    }
    std::vector<StepGroup> groups;
    std::size_t samples = 0;
    for (const auto &item : json) {
        if (!item.is_object()) {
            return malformed("a group must be an object");
        }
        JsonReader reader(item, "group");
        groups.push_back({reader.text("prompt"), static_cast<std::uint32_t>(reader.number("n", 1, SampleCursor::MaxSamples))});
        BOOST_OUTCOME_TRYV(reader.result());
        samples += groups.back().samples;
    }
    if (samples > SampleCursor::MaxSamples) {
        return Error{ResultCode::ValueOutOfRange, "a step has at most " + std::to_string(SampleCursor::MaxSamples) + " samples"};
    }
    return groups;
}

}

Result<StepOpening> readStepOpening(const std::string &body, Timestamp now)
{
    BOOST_OUTCOME_TRY(json, parseJsonObject(body, "step"));
    BOOST_OUTCOME_TRY(groups, Internal::readGroups(Internal::take(json, "groups")));
    const auto reopen = Internal::take(json, "reopen");
    JsonReader reader(json, "step");
    StepOpening opening;
    auto &step = opening.step;
    step.model = reader.name("model");
    step.groups = std::move(groups);
    step.maxTokens = static_cast<std::uint32_t>(reader.number("max_tokens", 1, Internal::MaxTokens));
    step.deadline = now + Milliseconds(reader.number("deadline_ms", 1, Internal::MaxDeadline));
    step.maxStaleness = reader.number("max_staleness", 0, Internal::MaxStaleness);
    step.trainerVersion = reader.numberOr("trainer_version", 0, 0, UINT64_MAX);
    BOOST_OUTCOME_TRYV(reader.result());
    if (!reopen.is_null()) {
        if (!reopen.is_object()) {
            return Internal::malformed("reopen must be an object");
        }
        JsonReader earlier(reopen, "reopen");
        const auto id = earlier.text("step");
        const auto cursor = earlier.text("cursor");
        BOOST_OUTCOME_TRYV(earlier.result());
        BOOST_OUTCOME_TRY(decoded, SampleCursor::decode(cursor, id, step.sampleCount()));
        opening.reopened = std::move(decoded);
    }
    return opening;
}

}
