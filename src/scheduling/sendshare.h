#pragma once

#include "base/timestamp.h"
#include "forwarding/requestlimiter.h"

namespace Basilbend
{

/// What a process knows about other processes that may send requests to the same endpoints.
struct SenderState {
    /// Start of this process if it took the leadership over from an earlier process on its host, which may have sent requests until
    /// then; long ago otherwise.
    Timestamp predecessorEndedAt;
    /// Start of the leadership. Its predecessor may not know of it yet.
    Timestamp electedAt;
    /// Time until which no other process can be elected.
    Timestamp leaseValidUntil;
    /// The leadership ends soon, so that a successor may begin.
    bool isHandingOver = false;
};

/// Decides which fraction of the requests that an endpoint may get a leader may send or grant, see RequestLimiter. Over any
/// window the shares of all processes that have led lately add up to one at most. At most two predecessors may still send without
/// knowing of their successors, so each of the three then keeps to a third:
/// - a leader uses the whole only while its lease lasts so long that a successor's first request falls into a later window;
/// - a successor takes a third while predecessors may still send, and nothing right after its election;
/// - a process that takes over from an earlier one on its host, whose lease has not ended, sends nothing in the second after its
///   start, because that process may have used the whole.
struct SendShareRule {
    /// Longest time for which a leader sends requests after its lease may have expired.
    Milliseconds uncertainSendTime{2500};
    /// Time by which leaseValidUntil precedes the real end of the lease.
    Milliseconds leaseMargin{300};
    /// Time after the end of an earlier process on this host before which nothing is sent. What that process had handed to new
    /// connections ended with it.
    Milliseconds restartDelay{1000};
    /// Time after its election before which a leader sends nothing. Reading the open batches takes about as long.
    Milliseconds firstSendDelay{250};

    static constexpr int MaxSenders = 3;

    double shareOf(const SenderState &state, Timestamp now) const
    {
        const auto window = RequestLimiter::Window;
        if (now - state.predecessorEndedAt < restartDelay || now - state.electedAt < firstSendDelay) {
            return 0;
        }
        const bool mayPredecessorSend = now - state.electedAt < uncertainSendTime + window;
        const bool maySuccessorSend = state.isHandingOver || state.leaseValidUntil - now < window - leaseMargin - firstSendDelay;
        return mayPredecessorSend || maySuccessorSend ? 1.0 / MaxSenders : 1;
    }
};

}
