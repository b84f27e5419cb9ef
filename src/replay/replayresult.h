#pragma once

#include "base/timestamp.h"
#include "replay/servicemeter.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// What one run of a trace measured.
struct ReplayResult {
    std::string run;

    /// Trainers: time without a finished step to train on, and mean time per step.
    double idleSeconds = 0;
    double stepSeconds = 0;
    std::uint64_t steps = 0;
    std::uint64_t stepsUnfinished = 0;

    /// Samples finished and then discarded, and samples stopped in time.
    std::uint64_t staleDiscarded = 0;
    std::uint64_t staleStopped = 0;

    /// Worst ratio over all workspaces and windows, where it was, and how many windows were below 95%.
    double worstWindow = 1;
    std::string worstWorkspace;
    Timestamp worstAt;
    std::uint64_t windows = 0;
    std::uint64_t windowsBelow = 0;
    std::vector<ServiceMeter::Window> below;
    std::map<std::string, std::uint64_t> refusedOf;

    /// Endpoint seconds, and per million tokens that callers got.
    double spendSeconds = 0;
    double spendPerMillion = 0;

    /// Tokens per second of responses that were complete in time.
    double goodput = 0;

    /// Tokens by which the usage of any workspace differs from what the engines generated.
    std::uint64_t usageWrong = 0;

    std::uint64_t delivered = 0;
    std::uint64_t refused = 0;
    std::uint64_t retries = 0;
    std::uint64_t preempted = 0;

    /// Longest time between giving a request up and its final answer, and requests with no or several final answers.
    std::int64_t finalAnswerMs = 0;
    std::uint64_t answersMissing = 0;
};

}
