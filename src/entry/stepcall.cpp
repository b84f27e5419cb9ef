#include "entry/stepcall.h"

namespace Basilbend
{

nlohmann::json stepCallToJson(const StepCall &call)
{
    return {{"kind", static_cast<int>(call.kind)},
            {"step", call.step},
            {"workspace", call.workspace},
            {"cursor", call.cursor},
            {"max", call.max},
            {"wait_ms", call.wait.count()},
            {"trainer_version", call.trainerVersion},
            {"hops", call.hops}};
}

Result<StepCall> stepCallFromJson(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        const auto kind = json.at("kind").get<int>();
        if (kind < 0 || kind > static_cast<int>(StepCall::Kind::Cancel)) {
            return Error{ResultCode::MalformedRequest, "the kind of the step call is unknown"};
        }
        return StepCall{static_cast<StepCall::Kind>(kind),
                        json.at("step").get<std::string>(),
                        json.at("workspace").get<std::string>(),
                        json.at("cursor").get<std::string>(),
                        json.at("max").get<std::size_t>(),
                        Milliseconds(json.at("wait_ms").get<std::int64_t>()),
                        json.at("trainer_version").get<std::uint64_t>(),
                        json.at("hops").get<std::uint32_t>()};
    } catch (const nlohmann::json::exception &) {
        return Error{ResultCode::MalformedRequest, "the step call is malformed"};
    }
}

}
