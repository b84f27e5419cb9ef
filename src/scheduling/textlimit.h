#pragma once

#include <cstddef>

namespace Basilbend
{

/// Limits on the texts of open batches, which a leader keeps in memory. A faulty endpoint may send events without end, and its texts must
/// not use up the memory that other batches need.
struct TextLimit {
    /// Maximum size of one text in bytes. A larger result would not fit into one value of the metadata store.
    static constexpr std::size_t MaxTextBytes = 512 * 1024;
    /// Limit for all texts together; a part of the memory of the smallest host that runs a scheduler.
    static constexpr std::size_t MaxOpenTextBytes = 32 * 1024 * 1024;
    /// A text up to this size is always kept, even if the total limit is exceeded.
    static constexpr std::size_t GuaranteedTextBytes = 64 * 1024;

    /// Whether a text may have this size. openBytes: size of all texts, including this one.
    static bool allows(std::size_t textBytes, std::size_t openBytes)
    {
        return textBytes <= GuaranteedTextBytes || (textBytes <= MaxTextBytes && openBytes <= MaxOpenTextBytes);
    }
};

}
