#pragma once

#include "base/result.h"
#include "metadata/metadatastore.h"

#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// A message that a FeedHub sends to one follower, with the changes that have not been sent to it yet.
struct FeedUpdate {
    /// The update holds all changes after baseRevision, up to the member revision. A receiver whose copy is older than
    /// baseRevision has missed an update.
    std::uint64_t baseRevision = 0;
    /// Changes since baseRevision, in order of revision.
    std::vector<MetadataItem> items;
    /// Revision up to which all changes that the sender has heard of have been sent.
    std::uint64_t revision = 0;
    /// Revision up to which the sender has missed no change. A receiver that leaves the sender reads the store from there.
    std::uint64_t confirmedRevision = 0;
    /// Time at which the copy was verified against the store, relative to the arrival of the follower's request at the
    /// sender. Both ends measure from the same request on their own steady clocks, so an update that is delivered late does
    /// not seem newer than it is.
    Milliseconds verifiedOffset{0};
    /// A change is omitted because its value is too large; the follower must read it from the store.
    bool isIncomplete = false;
    /// Whether the sender reaches the store.
    bool isStoreReachable = true;
};

/// Encodes an update as one line of JSON without the line feed.
std::string encodeFeedUpdate(const FeedUpdate &update);
Result<FeedUpdate> decodeFeedUpdate(std::string_view line);

}
