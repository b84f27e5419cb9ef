#include "gateway/crashrecord.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace
{

using nlohmann::json;

std::optional<CrashedRun> runNamed(std::string_view name)
{
    for (const auto run : {CrashedRun::Regular, CrashedRun::SharedTrial, CrashedRun::IsolatedTrial}) {
        if (name == crashedRunName(run)) {
            return run;
        }
    }
    return std::nullopt;
}

std::string_view takeUntil(std::string_view &text, char separator)
{
    const auto n = text.find(separator);
    const auto part = text.substr(0, n);
    text.remove_prefix(n == std::string_view::npos ? text.size() : n + 1);
    return part;
}

std::string textField(const json &object, const char *name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

}

std::string crashKey(const RequestFingerprint &request, const EndpointStart &endpoint)
{
    return CrashPrefix + request.digest + "/" + std::to_string(endpoint.startedAtMs) + "/" + endpoint.id;
}

std::string encodeCrash(const EndpointCrash &crash)
{
    return json{{"workspace", crash.workspace}, {"run", crashedRunName(crash.run)}}.dump();
}

std::optional<EndpointCrash> decodeCrashKey(std::string_view key)
{
    const std::string_view prefix = CrashPrefix;
    if (key.substr(0, prefix.size()) != prefix) {
        return std::nullopt;
    }
    key.remove_prefix(prefix.size());
    EndpointCrash crash;
    crash.request.digest = std::string(takeUntil(key, '/'));
    const auto startedAt = takeUntil(key, '/');
    const auto [end, ec] = std::from_chars(startedAt.data(), startedAt.data() + startedAt.size(), crash.endpoint.startedAtMs);
    crash.endpoint.id = std::string(key);
    const bool isValid = ec == std::errc{} && end == startedAt.data() + startedAt.size() && !crash.request.digest.empty() && !key.empty();
    return isValid ? std::optional(std::move(crash)) : std::nullopt;
}

std::optional<EndpointCrash> decodeCrash(std::string_view key, std::string_view value)
{
    auto crash = decodeCrashKey(key);
    const auto object = json::parse(value, nullptr, false);
    if (!crash || !object.is_object()) {
        return std::nullopt;
    }
    const auto run = runNamed(textField(object, "run"));
    if (!run) {
        return std::nullopt;
    }
    crash->run = *run;
    crash->workspace = textField(object, "workspace");
    return crash;
}

}
