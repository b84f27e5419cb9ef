#pragma once

#include "base/result.h"
#include "metadata/metadatastore.h"

#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// What a process tells those that follow its copy of a key prefix.
struct FeedUpdate {
    /// The update continues this revision: it holds all changes after it, up to the revision below. A receiver that knows less
    /// has missed an update.
    std::uint64_t baseRevision = 0;
    /// Changes since the update before, in order.
    std::vector<MetadataItem> items;
    /// Everything up to this revision has been told.
    std::uint64_t revision = 0;
    /// When the copy was proven current, counted from the arrival of the follower's request at the sender. Both ends count on
    /// their own steady clocks from one request, so an update that is delivered late does not seem newer than it is.
    Milliseconds verifiedOffset{0};
    /// A change is left out because its value is large; the follower reads it from the store.
    bool isIncomplete = false;
    /// The sender reaches the store.
    bool isStoreReachable = true;
};

/// One line of JSON without its line feed.
std::string encodeFeedUpdate(const FeedUpdate &update);
Result<FeedUpdate> decodeFeedUpdate(std::string_view line);

}
