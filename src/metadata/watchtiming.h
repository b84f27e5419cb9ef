#pragma once

#include "base/timestamp.h"

namespace Basilbend
{

/// How long watches of the metadata store wait. A watch whose answer is lost in silence is noticed only by its time limit, so the
/// wait follows from the bound within which a change must be known.
struct WatchTiming {
    /// Time that an answer may take beyond the wait before it counts as lost. A slow store takes a few hundred milliseconds.
    static constexpr Milliseconds AnswerAllowance{500};
    /// Time for the watch that replaces a lost one: the pause before it and its answer.
    static constexpr Milliseconds RetryAllowance{500};
    /// Minimum wait, so that a tight bound does not turn watches into polling.
    static constexpr Milliseconds MinSpan{300};
    /// Wait of a watch after a failed one. It asks for what was missed and is not lost with the waiting watches of a store that
    /// drops them.
    static constexpr Milliseconds RetrySpan{1};

    /// Time after a fault of the store, or of a link to it, within which copies must be current again.
    static constexpr Milliseconds RecoveryBound{3000};

    /// Returns the maximum wait of a watch with which a change is known within the bound although one watch is lost.
    static Milliseconds spanFor(Milliseconds bound);

    /// Returns the time after which a watch with the given wait counts as lost.
    static Milliseconds timeoutFor(Milliseconds span);

    /// Returns the time from a change that a watch with the given wait reported until the changes before it are read again. A feed with
    /// longer waits has a wider bound, and its price for each burst of changes is smaller.
    static Milliseconds gapCheckDelayFor(Milliseconds span);
};

}
