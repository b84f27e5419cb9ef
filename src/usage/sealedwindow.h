#pragma once

#include "leadership/processidentity.h"
#include "usage/usagefigures.h"

#include <map>

namespace Basilbend
{

/// The value of usage/sealed/<window>: what is billed with this window, decided once. The windows of a shard form a chain
/// without gaps; each takes in the batches written after those of the one before it.
struct SealedWindow {
    std::uint64_t window = 0;

    /// Store version up to which batches are included, those of earlier windows too.
    std::uint64_t includedVersion = 0;

    /// Last batch included per entry incarnation ("entry/incarnation"), for those that are new since the window before.
    std::map<std::string, std::uint64_t> includedBatches;

    /// Sums of this window and, late, of earlier windows.
    UsageFigures figures;

    /// Sums of later windows that were in the batches already.
    UsageFigures carried;

    /// Mark of the write.
    ProcessIdentity sealer;
    std::uint64_t write = 0;

    std::string toJson() const;
    /// Returns nothing when the text is not a sealed window.
    static std::optional<SealedWindow> fromJson(std::string_view text);

    /// The figures of the report: objects with workspace, window, late, cause, attempts, input_tokens and output_tokens. The
    /// same sealed window always gives the same bytes.
    nlohmann::json reportFigures() const;
};

/// The value of usage/progress: where the chain of windows begins, and up to where reports are acknowledged. The second is a
/// hint that may lag; a report that is sent again has the same id and figures.
struct UsageProgress {
    std::uint64_t firstWindow = 0;
    std::uint64_t reportedBefore = 0;

    /// Mark of the write.
    ProcessIdentity writer;
    std::uint64_t write = 0;

    std::string toJson() const;
    static std::optional<UsageProgress> fromJson(std::string_view text);
};

}
