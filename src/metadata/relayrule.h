#pragma once

#include "base/timestamp.h"
#include "metadata/metadatastore.h"

namespace Basilbend
{

/// Decides which way calls to the metadata store take. The store may turn this process away while it serves others; a peer
/// can then relay.
class RelayRule
{
public:
    /// Whether the next call goes through a peer at once. While it does, one call in ProbeInterval still goes directly, to
    /// find out when the direct way is back; a watch is no probe, because its failure takes too long to show.
    bool takesPeer(bool isWatch, Timestamp now);

    /// The end of a direct call.
    void noteDirect(MetadataStatus status, Timestamp now);

    /// Whether a failed call may be repeated another way: it must be certain that nothing was done, unless doing it twice is
    /// the same as doing it once.
    static bool mayRepeat(MetadataStatus status, bool isIdempotent);

    /// Whether this process reaches the store, for the question of a peer.
    bool isDirectHealthy() const
    {
        return m_failures == 0;
    }

    static constexpr int FailuresOfOutage = 2;
    static constexpr Milliseconds ProbeInterval{700};

private:
    int m_failures = 0;
    Timestamp m_lastProbe;
};

}
