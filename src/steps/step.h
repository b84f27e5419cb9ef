#pragma once

#include "base/timestamp.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// Samples that share a prompt.
struct StepGroup {
    std::string prompt;
    std::uint32_t samples = 0;
};

/// What a trainer asks for. Sample indexes count through the groups in order and never change.
struct Step {
    /// Names the entries that hold the step, see makeStepId().
    std::string id;
    std::string workspace;
    std::string model;
    std::vector<StepGroup> groups;
    std::uint32_t maxTokens = 0;
    Timestamp deadline;

    /// Versions that a sample may be behind the newest at delivery.
    std::uint64_t maxStaleness = 0;
    std::uint64_t trainerVersion = 0;

    std::size_t sampleCount() const;
};

/// The id of a step: a unique part and the nodes that hold it, the opening entry first. Node ids must not contain '~'.
std::string makeStepId(std::string_view unique, const std::vector<std::string> &holders);

/// The nodes named in a step id; empty for text that makeStepId() can't have made.
std::vector<std::string> stepHolders(std::string_view id);

/// The key under which lengths of samples with this prompt are remembered.
std::uint64_t promptKey(std::string_view prompt);

}
