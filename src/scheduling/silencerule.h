#pragma once

#include "base/timestamp.h"

namespace Basilbend
{

/// How long a run may go without a whole event before it is given up. Bytes that complete no event are no progress: a stalled
/// endpoint may still send one now and then. A slow but sound one must not be cut: the limit follows the time that its events
/// take, and an item whose runs were given up without any event gets more time with each of them, because all endpoints may
/// be slow.
/// UsualGap: the recent time between two events at the endpoint, in ms; zero: not known.
Milliseconds silenceLimit(double usualGapMs, int fruitlessRuns);

/// The least limit. Longer than a change of weights, during which a run may pause.
inline constexpr Milliseconds ShortestSilence{1800};
inline constexpr Milliseconds LongestSilence{20000};
/// Several events may be late together, for example while the endpoint reads the prompts of others.
inline constexpr double SilenceGaps = 12;

}
