#pragma once

#include "base/attemptid.h"
#include "base/timestamp.h"

#include <nlohmann/json_fwd.hpp>

namespace Basilbend
{

/// Why the engine produced the tokens of an attempt; bills are split by it.
enum class UsageCause {
    Normal,
    Retried,
    Cancelled,
    Hedged,
};

std::string_view usageCauseName(UsageCause cause);
std::optional<UsageCause> usageCauseFromName(std::string_view name);

/// Number of the usage window that holds a time; windows count from the Unix epoch.
std::uint64_t usageWindow(Timestamp time, Milliseconds length);

/// What an engine produced for one attempt, counted once by the sidecar when the attempt ended and never changed again.
struct UsageRecord {
    AttemptId attempt;
    std::string workspace;
    std::uint64_t window = 0;
    UsageCause cause = UsageCause::Normal;
    std::uint64_t inputTokens = 0;
    std::uint64_t outputTokens = 0;
};

bool operator==(const UsageRecord &a, const UsageRecord &b);

/// A record without its entry and incarnation: [sequence, workspace, window, cause, input tokens, output tokens].
nlohmann::json usageRecordToJson(const UsageRecord &record);

/// Reads the array form; throws nlohmann::json::exception or std::invalid_argument when it is malformed.
UsageRecord usageRecordFromJson(const nlohmann::json &json, const std::string &entry, std::uint64_t incarnation);

}
