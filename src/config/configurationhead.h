#pragma once

#include "base/result.h"
#include "config/configurationedit.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Basilbend
{

/// The value of the store key that orders all edits: the newest edits and a reference to the snapshot that they are based on.
/// An edit is accepted by a compare-and-swap of this key, so a writer that was suspended can't append to an outdated state.
struct ConfigurationHead {
    /// The revision after the last of the edits.
    std::uint64_t revision = 0;

    /// The revision of the snapshot, to which the edits apply in order. Zero means the empty configuration.
    std::uint64_t snapshotRevision = 0;

    /// Number of parts in which the snapshot is stored.
    std::uint64_t snapshotParts = 0;

    /// The edits after the snapshot in order, each as one line of JSON.
    std::vector<std::string> edits;
};

std::string toText(const ConfigurationHead &head);

/// Fails with MalformedRequest when the text is not a head, or when the number of edits does not match the two revisions.
Result<ConfigurationHead> headFromText(const std::string &text);

}
