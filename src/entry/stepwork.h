#pragma once

#include "entry/stepservice.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// A step that this entry runs.
struct StepService::Work {
    struct Holder {
        /// One copy is on its way at a time, so that copies arrive in order.
        bool busy = false;
        bool needsAll = true;
    };
    struct Waiter {
        StepCall call;
        Timestamp until;
        StepAnswer answer;
    };

    std::unique_ptr<StepTracker> tracker;
    /// Grows with each takeover; of two entries that run a step, the one with the lower epoch gives up.
    std::uint64_t epoch = 1;
    /// Number of the last set of placement changes.
    std::uint64_t number = 0;
    std::map<std::string, Holder> holders;
    std::vector<Waiter> waiters;
    /// Attempts of an earlier owner that are polled, and failed polls per endpoint.
    std::vector<AttemptRef> adopted;
    std::map<std::string, int> failedPolls;
    Timestamp lastCopy;
    Timestamp lastPoll;
    std::optional<Timestamp> endedAt;
    /// The opening is answered when no holder is left in awaited.
    StepAnswer opened;
    std::set<std::string> awaited;
};

/// A copy of a step that another entry runs.
struct StepService::Held {
    StepCopy copy;
    std::string owner;
    std::uint64_t epoch = 0;
};

}
