#pragma once

#include "base/timestamp.h"

#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// When a node may try to become leader. Receivers of orders refuse nothing, so two leaders must not take turns within the
/// turn guard: a node that led before another one waits until its own last order is that old. A restarted process does not
/// know when it led last and counts from its start.
struct CandidacyRule {
    Milliseconds reelectionDelay{3500};

    /// Recent leaders: newest first. LastLedAt: the end of this process' last leadership, if it led.
    bool isEligible(
        const std::string &node, const std::vector<std::string> &recentLeaders, Timestamp startedAt, std::optional<Timestamp> lastLedAt, Timestamp now) const;
};

/// Recent leaders after a node has taken over, with at most this many kept.
std::vector<std::string> withNewestLeader(const std::string &node, const std::vector<std::string> &recentLeaders);

}
