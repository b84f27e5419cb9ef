#pragma once

#include "base/timestamp.h"

namespace Basilbend
{

/// Time without a complete event after which a run is cancelled. Bytes that complete no event are not progress: a stalled
/// endpoint may still send some from time to time. A slow but working endpoint must not be cut off: the time-out follows
/// its event interval, and an item whose runs were cancelled before any event gets more time with each of them, because all
/// endpoints may be slow.
/// eventIntervalMs: recent time between two events at the endpoint, in ms; zero if unknown.
Milliseconds silenceTimeout(double eventIntervalMs, int runsWithoutEvent);

/// Minimum time-out. Longer than a change of weights, during which a run may pause.
inline constexpr Milliseconds MinSilenceTimeout{1800};
inline constexpr Milliseconds MaxSilenceTimeout{20000};
/// Time-out in event intervals. Several events may be late together, for example while the endpoint processes other
/// prompts.
inline constexpr double SilenceIntervals = 12;

}
