#pragma once

namespace Basilbend
{

/// Decides which way calls to the metadata store take. The store may turn this process away while it serves others; a peer
/// can then relay.
class RelayRule
{
public:
    /// Whether calls go directly. While the direct way is down, only probes do.
    bool isDirectAvailable() const
    {
        return m_failures < OutageFailureThreshold;
    }

    /// The end of a direct call or of a probe. Returns whether the direct way has just gone down.
    bool recordDirectResult(bool isAnswered);

    /// Whether a failed call may be repeated another way: it must be certain that nothing was done, unless doing it twice is
    /// the same as doing it once.
    static bool mayRetry(bool isRefusal, bool isIdempotent)
    {
        return isRefusal || isIdempotent;
    }

    /// Whether this process reaches the store, for the question of a peer.
    bool isHealthy() const
    {
        return m_failures == 0;
    }

    static constexpr int OutageFailureThreshold = 2;

private:
    int m_failures = 0;
};

}
