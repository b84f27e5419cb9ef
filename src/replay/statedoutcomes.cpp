#include "replay/statedoutcomes.h"

#include "config/jsonreader.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace Basilbend
{

namespace Internal
{

constexpr std::pair<const char *, std::optional<std::uint64_t> StatedOutcomes::*> OutcomeFields[] = {
    {"worst_window_percent", &StatedOutcomes::worstWindowPercent},
    {"step_time_percent", &StatedOutcomes::stepTimePercent},
    {"idle_percent", &StatedOutcomes::idlePercent},
    {"stale_discarded", &StatedOutcomes::staleDiscarded},
    {"spend_percent", &StatedOutcomes::spendPercent},
    {"goodput_percent", &StatedOutcomes::goodputPercent},
    {"usage_wrong", &StatedOutcomes::usageWrong},
    {"final_answer_ms", &StatedOutcomes::finalAnswerMs},
};
constexpr std::uint64_t LargestOutcome = 1000000000;

}

Result<StatedOutcomes> readOutcomes(const std::string &text)
{
    const auto invalid = [](const Error &error) { return Error{ResultCode::TraceInvalid, error.message}; };
    const auto parsed = parseJsonObject(text, "outcomes");
    if (!parsed) {
        return invalid(parsed.error());
    }
    JsonReader reader(parsed.value(), "outcomes");
    StatedOutcomes outcomes;
    for (const auto &[name, field] : Internal::OutcomeFields) {
        const auto value = reader.numberOr(name, Internal::LargestOutcome + 1, 0, Internal::LargestOutcome);
        if (value <= Internal::LargestOutcome && parsed.value().contains(name)) {
            outcomes.*field = value;
        }
    }
    if (const auto done = reader.result(); !done) {
        return invalid(done.error());
    }
    return outcomes;
}

std::string writeOutcomes(const StatedOutcomes &outcomes)
{
    nlohmann::ordered_json json = nlohmann::ordered_json::object();
    for (const auto &[name, field] : Internal::OutcomeFields) {
        if (outcomes.*field) {
            json[name] = *(outcomes.*field);
        }
    }
    return json.dump(2) + "\n";
}

}
