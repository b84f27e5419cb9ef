#pragma once

#include "base/timestamp.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// A key of the metadata store. Revisions grow with each change to the store, over all keys.
struct MetadataItem {
    std::string key;
    std::string value;
    /// Revision of the last change.
    std::uint64_t revision = 0;
    /// Revision of the creation.
    std::uint64_t createdRevision = 0;
    /// Lease that the key hangs on; zero: none.
    std::uint64_t lease = 0;
    /// Watches only: the key was removed at the revision.
    bool isRemoval = false;
};

enum class MetadataStatus {
    Done,
    /// A precondition does not hold; nothing was done.
    Conflict,
    /// No such key or lease; nothing was done.
    NotFound,
    /// The history that a watch asked for has been dropped.
    HistoryGone,
    /// Refused, or no connection; nothing was done.
    Refused,
    /// No answer: the call may have been executed, or may still be.
    Unknown,
};

/// A word for log lines.
std::string_view metadataStatusName(MetadataStatus status);

struct MetadataReply {
    MetadataStatus status = MetadataStatus::Unknown;
    /// Read items, events of a watch, or the current state of a failed precondition.
    std::vector<MetadataItem> items;
    /// Lists only: there is another page behind the last item.
    bool hasMore = false;
    /// The store's revision; for a commit, the revision of the change.
    std::uint64_t revision = 0;
    /// Leases only.
    std::uint64_t lease = 0;
    Milliseconds leaseDuration{0};
};

/// Requires that a key's last change has this revision; zero: that the key does not exist.
struct Precondition {
    std::string key;
    std::uint64_t revision = 0;
};

struct MetadataWrite {
    std::string key;
    std::string value;
    std::uint64_t lease = 0;
};

/// A change that is made as a whole or not at all.
struct MetadataChange {
    std::vector<Precondition> preconditions;
    std::vector<MetadataWrite> writes;
    std::vector<std::string> removals;
};

/// The platform's key-value service: linearizable reads, conditional writes over several keys, leases and watches. Calls
/// return at once, and the callback runs later on the same thread. Every call counts against the rates of the service.
class MetadataStore
{
public:
    using Callback = std::function<void(MetadataReply)>;

    virtual ~MetadataStore() = default;

    virtual void get(const std::string &key, Callback callback) = 0;

    /// One page of the items whose keys start with the prefix, behind the given key.
    virtual void list(const std::string &prefix, const std::string &afterKey, Callback callback) = 0;

    /// Waits until something below the prefix has changed after the revision, or until the span is over.
    virtual void watch(const std::string &prefix, std::uint64_t afterRevision, Milliseconds span, Callback callback) = 0;

    virtual void commit(const MetadataChange &change, Callback callback) = 0;

    virtual void createLease(Milliseconds span, Callback callback) = 0;
    virtual void renewLease(std::uint64_t lease, Callback callback) = 0;
    virtual void revokeLease(std::uint64_t lease, Callback callback) = 0;
};

}
