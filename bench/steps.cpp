// Measures the cost per sample of StepTracker for steps of 1, 4 and 16 times 4,096 samples: time, bytes of state and bytes sent.
// Each sample is placed, receives eight parts of output, finishes and is fetched. Half of the fetches are repeated with the
// previous cursor, as after a lost response.
#include "base/random.h"
#include "steps/lengthestimator.h"
#include "steps/stepcodec.h"
#include "steps/steptracker.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <new>
#include <nlohmann/json.hpp>

using namespace Basilbend;

namespace
{

std::size_t liveBytes = 0;

constexpr std::uint32_t GroupSize = 16;
constexpr int Parts = 8;
constexpr std::size_t PartBytes = 64;
constexpr std::size_t FetchSize = 256;

struct Cost {
    double nanoseconds = 0;
    double idleBytes = 0;
    double peakBytes = 0;
    double endBytes = 0;
    double copyBytes = 0;
    double cursorBytes = 0;
};

class Stopwatch
{
public:
    void start()
    {
        m_start = std::chrono::steady_clock::now();
    }
    void stop()
    {
        m_total += std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - m_start).count();
    }
    double nanoseconds() const
    {
        return m_total;
    }

private:
    std::chrono::steady_clock::time_point m_start;
    double m_total = 0;
};

Step makeStep(std::uint32_t samples)
{
    Step step{"s0123456789abcdef~entry-1~entry-2~entry-3", "workspace", "policy", {}, 1000, Timestamp(1000000), 1, 10};
    for (std::uint32_t i = 0; i < samples / GroupSize; ++i) {
        step.groups.push_back({"a prompt of some length, number " + std::to_string(i), GroupSize});
    }
    return step;
}

Cost measure(std::uint32_t samples)
{
    Cost cost;
    LengthEstimator lengths;
    const auto step = makeStep(samples);
    const auto before = liveBytes;
    Stopwatch watch;
    watch.start();
    StepTracker tracker(step, lengths, Timestamp(0));
    watch.stop();
    cost.idleBytes = static_cast<double>(liveBytes - before);
    std::vector<std::pair<std::uint32_t, AttemptId>> placed;
    placed.reserve(samples);
    const auto fixed = liveBytes - before - static_cast<std::size_t>(cost.idleBytes);
    const std::string part(PartBytes, 'x');
    watch.start();
    while (const auto order = tracker.next(Timestamp(1), false)) {
        placed.emplace_back(order->index, AttemptId{"entry-1", 77, placed.size()});
        tracker.placed(*order, placed.back().second, "endpoint-" + std::to_string(placed.size() % 83), 10, Timestamp(1));
        if (placed.size() % FetchSize == 0) {
            watch.stop();
            cost.copyBytes += static_cast<double>(2 * placementsToJson(tracker.takePlacementChanges()).dump().size());
            watch.start();
        }
    }
    for (int i = 0; i < Parts; ++i) {
        for (const auto &[index, attempt] : placed) {
            tracker.progressed(index, attempt, part, PartBytes / 4, 10, true);
        }
    }
    watch.stop();
    // Samples finish in random order, the worst case for the cursor size.
    Random random(1);
    for (std::size_t i = placed.size() - 1; i > 0; --i) {
        std::swap(placed[i], placed[random.below(i + 1)]);
    }
    SampleCursor cursor(samples);
    std::size_t peak = 0;
    std::size_t fetches = 0;
    for (std::size_t first = 0; first < placed.size(); first += FetchSize) {
        watch.start();
        for (std::size_t i = first; i < std::min(first + FetchSize, placed.size()); ++i) {
            const auto &[index, attempt] = placed[i];
            auto body = *tracker.output(index, attempt);
            tracker.finished(index, attempt, std::move(body), Timestamp(100));
        }
        watch.stop();
        peak = std::max(peak, liveBytes - before - fixed);
        for (std::size_t repeat = 0; repeat < 1 + first / FetchSize % 2; ++repeat) {
            watch.start();
            const auto text = cursor.encode(step.id);
            const auto sent = SampleCursor::decode(text, step.id, samples).value();
            auto answer = tracker.fetch(sent, FetchSize, 10, Timestamp(200)).value();
            watch.stop();
            cost.cursorBytes += static_cast<double>(2 * text.size());
            ++fetches;
            if (repeat == first / FetchSize % 2) {
                cursor = answer.cursor;
            }
        }
        cost.copyBytes += static_cast<double>(2 * placementsToJson(tracker.takePlacementChanges()).dump().size());
        tracker.takeEffects();
    }
    tracker.fetch(cursor, 1, 10, Timestamp(300)).value();
    tracker.takeEffects();
    if (cursor.count() != samples) {
        std::fprintf(stderr, "%zu of %u samples were delivered\n", cursor.count(), samples);
        std::exit(1);
    }
    cost.endBytes = static_cast<double>(liveBytes - before - fixed);
    cost.peakBytes = static_cast<double>(peak);
    cost.nanoseconds = watch.nanoseconds();
    return cost;
}

}

void *operator new(std::size_t size)
{
    void *p = std::malloc(size);
    if (p == nullptr) {
        throw std::bad_alloc();
    }
    liveBytes += malloc_usable_size(p);
    return p;
}

void operator delete(void *p) noexcept
{
    if (p != nullptr) {
        liveBytes -= malloc_usable_size(p);
    }
    std::free(p);
}

void operator delete(void *p, std::size_t) noexcept
{
    operator delete(p);
}

int main()
{
    constexpr int Runs = 5;
    std::printf("per sample, time as the least of %d runs; output of a sample is %zu bytes\n", Runs, Parts * PartBytes);
    std::printf(
        "%8s %9s %7s %12s %12s %12s %12s %12s\n", "samples", "time ns", "ratio", "state idle B", "state peak B", "state end B", "copies B", "cursors B");
    double first = 0;
    for (const std::uint32_t samples : {4096U, 4096U * 4, 4096U * 16}) {
        auto best = measure(samples);
        for (int i = 1; i < Runs; ++i) {
            const auto cost = measure(samples);
            best = cost.nanoseconds < best.nanoseconds ? cost : best;
        }
        first = first == 0 ? best.nanoseconds / samples : first;
        std::printf("%8u %9.0f %7.2f %12.1f %12.1f %12.1f %12.1f %12.1f\n",
                    samples,
                    best.nanoseconds / samples,
                    best.nanoseconds / samples / first,
                    best.idleBytes / samples,
                    best.peakBytes / samples,
                    best.endBytes / samples,
                    best.copyBytes / samples,
                    best.cursorBytes / samples);
    }
    return 0;
}
