#pragma once

#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace Basilbend
{

/// A caller's request for an open step, as it is served here or passed on to the entry that runs the step.
struct StepCall {
    enum class Kind {
        Progress,
        Fetch,
        Acknowledge,
        Cancel,
    };

    Kind kind = Kind::Progress;
    std::string step;
    std::string workspace;

    /// Text form; empty stands for a trainer that has no samples yet.
    std::string cursor;
    std::size_t max = 256;
    Milliseconds wait{0};
    std::uint64_t trainerVersion = 0;

    /// Entries that passed it on; bounds the way from an entry to a holder to the owner.
    std::uint32_t hops = 0;
};

using StepAnswer = std::function<void(Result<nlohmann::json>)>;

nlohmann::json stepCallToJson(const StepCall &call);
Result<StepCall> stepCallFromJson(const std::string &text);

}
