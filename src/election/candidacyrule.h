#pragma once

#include "base/timestamp.h"

#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// Decides when a node may run for leader. Receivers of orders refuse no order, so two leaders must not alternate within the
/// reelection delay: a node that led before another one waits until its own last order is that old. A restarted process does
/// not know when it last led and counts from its start.
struct CandidacyRule {
    Milliseconds reelectionDelay{3500};

    /// recentLeaders is sorted newest first. lastLedAt is the end of the last leadership of this process, if it led.
    bool isEligible(
        const std::string &node, const std::vector<std::string> &recentLeaders, Timestamp startedAt, std::optional<Timestamp> lastLedAt, Timestamp now) const;
};

/// Returns the list of recent leaders with the newly elected node at its front: newest first, each node once, and limited to
/// the newest 8.
std::vector<std::string> withNewestLeader(const std::string &node, const std::vector<std::string> &recentLeaders);

}
