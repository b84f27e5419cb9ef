#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace Basilbend
{

class LengthEstimator;
struct Step;

/// The order in which the samples of a step are started: those that have to be run again first, since they are behind the
/// others; then groups by expected length, longest first, each group's samples together.
class SampleQueue
{
public:
    SampleQueue(const Step &step, const LengthEstimator &lengths);

    void requeue(std::uint32_t index);

    /// The next sample for which isWaiting holds; others at the front are discarded.
    std::optional<std::uint32_t> front(const std::function<bool(std::uint32_t)> &isWaiting);

private:
    std::vector<std::uint32_t> m_order;
    std::size_t m_next = 0;
    std::deque<std::uint32_t> m_again;
};

}
