#pragma once

#include "base/timestamp.h"

#include <cstdint>
#include <optional>

namespace Basilbend
{

/// Decides whether a sample is within its staleness bound: newest - oldest <= bound, where newest is the highest version
/// published or named by the trainer. Checked at dispatch, while running and at delivery; only the last decides.
class StalenessPolicy
{
public:
    explicit StalenessPolicy(std::uint64_t bound = 0);

    /// A version is known to be published; returns true when it is newer than all before.
    bool published(std::uint64_t version, Timestamp now);

    /// The trainer named its version; it counts as newest but not as a publication time.
    void trainerAt(std::uint64_t version);

    std::uint64_t newest() const;

    /// The lowest version that may still take part in a sample.
    std::uint64_t minimumVersion() const;

    /// Dispatch and delivery: whether output of this version is within the bound.
    bool isValid(std::uint64_t oldest) const;

    /// While running: whether a sample with this oldest version, expected to need this much longer, can be delivered
    /// before a publication breaks its bound. True when publication times are not known yet.
    bool canFinish(std::uint64_t oldest, Milliseconds remaining, Timestamp now) const;

private:
    std::uint64_t m_bound;
    std::uint64_t m_newest = 0;
    std::uint64_t m_lastPublished = 0;
    std::optional<Timestamp> m_lastPublishedAt;
    /// Time between the last two publications, per version.
    Milliseconds m_interval{0};
};

}
