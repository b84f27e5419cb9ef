#pragma once

namespace Basilbend
{

/// Decides whether calls to the metadata store go directly or through a peer. The store may refuse this process while it
/// serves others; a peer can then relay.
class RelayRule
{
public:
    /// Whether calls are sent directly. During an outage of the direct connection, only probes are.
    bool isDirectAvailable() const
    {
        return m_failures < OutageFailureThreshold;
    }

    /// Records the result of a direct call or of a probe. Returns whether an outage of the direct connection has just begun.
    bool recordDirectResult(bool isAnswered);

    /// Whether a failed call may be retried through a peer: either the store certainly did not execute it, or it is
    /// idempotent.
    static bool mayRetry(bool isRefusal, bool isIdempotent)
    {
        return isRefusal || isIdempotent;
    }

    /// Whether the last direct call was answered, so that this process can relay for a peer.
    bool isHealthy() const
    {
        return m_failures == 0;
    }

    static constexpr int OutageFailureThreshold = 2;

private:
    int m_failures = 0;
};

}
