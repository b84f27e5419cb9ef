#pragma once

#include "entry/stepcall.h"
#include "steps/sampleplacement.h"
#include "steps/steptracker.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// An attempt that was handed to a sidecar.
struct StartedSample {
    AttemptId attempt;
    std::string endpoint;
    std::uint64_t endpointVersion = 0;
};

/// What StepService needs from the process around it. All hooks return at once and are called on the service's thread;
/// callbacks must come back on that thread.
struct StepHooks {
    /// Chooses an endpoint and starts an attempt there; nothing when no endpoint has room. What happens to the attempt is
    /// told by sampleProgressed(), sampleFinished() and sampleFailed().
    std::function<std::optional<StartedSample>(const Step &, const SampleOrder &)> start;

    /// True when endpoints of the model would idle without second copies.
    std::function<bool(const std::string &model)> hasSpareCapacity;

    /// The newest version of the model that is known to be published; zero when unknown.
    std::function<std::uint64_t(const std::string &model)> newestVersion;

    std::function<void(const std::string &step, const AttemptRef &)> revoke;
    std::function<void(const std::string &step, const std::string &endpoint, const std::vector<AttemptRef> &)> release;

    /// Asks a sidecar what it has of these attempts; the answer goes to StepService::attachAnswered().
    std::function<void(const std::string &step, const std::string &endpoint, const std::vector<AttemptRef> &)> attach;

    /// Stops following the attempts of a step without revoking them: another entry has taken it over.
    std::function<void(const std::string &step)> abandon;

    /// Sends a copy of a step to another entry and answers with its reply.
    std::function<void(const std::string &node, const std::string &step, const nlohmann::json &copy, StepAnswer)> sendCopy;

    /// Passes a call on. An unreachable process answers with NoEndpoint, one that can't be told from a slow one with
    /// DeadlineExceeded.
    std::function<void(const std::string &node, const StepCall &, StepAnswer)> forward;

    /// At most count other entries to hold a step, in other zones first.
    std::function<std::vector<std::string>(const std::string &unique, std::size_t count)> chooseHolders;
};

}
