#pragma once

#include "base/timestamp.h"
#include "steps/samplebody.h"
#include "steps/step.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace Basilbend
{

/// What a trainer saw of one step.
struct TrainerReport {
    std::uint64_t samples = 0;
    std::uint64_t delivered = 0;
    std::uint64_t lost = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t stale = 0;

    /// Samples whose text or token count is not what an engine gives for the prompt.
    std::uint64_t wrongTexts = 0;

    /// Samples whose version list is empty, out of order, or names a version that was never published.
    std::uint64_t wrongVersions = 0;

    /// Samples with an index or group that the step does not have.
    std::uint64_t unknown = 0;

    std::uint64_t tokens = 0;

    /// Answers that did not come or were no success, each followed by another try.
    std::uint64_t failedFetches = 0;

    /// Samples by their staleness in versions.
    std::map<std::uint64_t, std::uint64_t> staleness;

    /// Time in which the trainer waited for samples and had none to work on.
    Milliseconds idle{0};
    Milliseconds duration{0};
};

/// Checks the samples of one step as they arrive.
class TrainerLedger
{
public:
    /// Gives the seed of a sample, by index, for the comparison of texts.
    using SeedFunction = std::function<std::uint64_t(std::uint32_t)>;

    TrainerLedger(Step step, SeedFunction seed);

    /// Trainer version is the one that the fetch named, published the highest one published before the answer came.
    void receive(std::uint32_t index, std::uint32_t group, const SampleBody &body, std::uint64_t trainerVersion, std::uint64_t published);

    /// The counts so far; what has not come counts as lost.
    TrainerReport report() const;

private:
    void checkVersions(const SampleBody &body, std::uint64_t trainerVersion, std::uint64_t published);

    Step m_step;
    SeedFunction m_seed;
    std::vector<std::uint32_t> m_groupOf;
    std::vector<bool> m_received;
    TrainerReport m_report;
};

}
