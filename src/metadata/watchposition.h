#pragma once

#include "base/timestamp.h"

#include <cstdint>
#include <optional>

namespace Basilbend
{

/// The revisions at which a feed stands. Watches of the store may miss changes for a moment. A watch that waits through such a moment
/// and then reports a later change leaves a gap, so what was heard is confirmed only once the changes since the last confirmed
/// revision were read again.
class WatchPosition
{
public:
    /// Longest time during which watches of the store may miss changes: up to one second, plus a margin.
    static constexpr Milliseconds MaxWatchGap{1500};

    /// Starts at the revision of a listing.
    void reset(std::uint64_t revision);

    /// Revision at which the next watch starts.
    std::uint64_t heard() const
    {
        return m_heard;
    }

    /// Revision up to which no change was missed.
    std::uint64_t confirmed() const
    {
        return m_confirmed;
    }

    /// Whether a change before heard() may have been missed, so that the changes since confirmed() must be read again.
    bool mayHaveGap() const
    {
        return m_mayHaveGap;
    }

    /// Records a watch that reported changes. One that did not wait reports all changes since heard().
    void acceptChanges(std::uint64_t revision, bool hasWaited);

    /// Records a watch that reported no change.
    void acceptEmpty(std::uint64_t revision, Timestamp sentAt, Timestamp now);

    /// Records that all changes between confirmed() and the revision were read again.
    void acceptCheck(std::uint64_t revision);

    /// Records the position of a followed feed.
    void acceptPeer(std::uint64_t peerHeard, std::uint64_t peerConfirmed);

    /// Returns to the confirmed revision, when the peer that had to close its gaps is no longer followed.
    void returnToConfirmed();

private:
    /// A revision up to which a watch reported no change, and the time of its answer.
    struct UnconfirmedRevision {
        std::uint64_t revision;
        Timestamp reportedAt;
    };

    std::uint64_t m_heard = 0;
    std::uint64_t m_confirmed = 0;
    bool m_mayHaveGap = false;
    /// The revision to adopt once a later watch confirms that no change before it was missed.
    std::optional<UnconfirmedRevision> m_unconfirmedRevision;
};

}
