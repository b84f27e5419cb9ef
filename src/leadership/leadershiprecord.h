#pragma once

#include "leadership/processidentity.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// A process that held a duty, with the last epoch in which it did.
struct DutyHolder {
    ProcessIdentity process;
    std::uint64_t epoch = 0;
};

inline bool operator==(const DutyHolder &a, const DutyHolder &b)
{
    return a.process == b.process && a.epoch == b.epoch;
}

/// The value of leadership/<duty>. The key has no lease in the store, because the list of predecessors must outlive the
/// holder; a lease ends when nobody has written the record for its span.
struct LeadershipRecord {
    /// Empty after the holder resigned; the epoch is then the last one.
    ProcessIdentity holder;
    std::uint64_t epoch = 0;

    /// Earlier holders that are not yet confirmed as stopped; each process once, with its highest epoch.
    std::vector<DutyHolder> predecessors;

    /// Mark of the write: who wrote, and the writer's count of writes.
    ProcessIdentity writer;
    std::uint64_t write = 0;

    /// Adds an earlier holder, or raises its epoch when it is already listed.
    void addPredecessor(const DutyHolder &predecessor);

    std::string toJson() const;
    /// Returns nothing when the text is not a record.
    static std::optional<LeadershipRecord> fromJson(std::string_view text);
};

}
