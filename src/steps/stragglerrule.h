#pragma once

#include "base/timestamp.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Basilbend
{

/// Tells when a running sample is so far behind that a second copy pays: its expected remaining time is more than twice the
/// median duration of the step's finished samples, which is what the copy is expected to take at most.
class StragglerRule
{
public:
    void finished(Milliseconds duration, std::uint64_t tokens);

    /// Nothing before the first sample finished.
    std::optional<Milliseconds> medianDuration() const;

    /// Expected time until a sample ends. produced counts the attempt's own tokens, left the tokens still expected.
    Milliseconds remaining(double left, std::uint64_t produced, Milliseconds elapsed) const;

    bool needsCopy(Milliseconds remaining) const;

private:
    std::vector<std::int32_t> m_durations;
    std::uint64_t m_tokens = 0;
    std::int64_t m_time = 0;
    mutable std::size_t m_medianOver = 0;
    mutable std::int32_t m_median = 0;
};

}
