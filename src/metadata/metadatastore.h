#pragma once

#include "base/timestamp.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// A key of the metadata store and its value. Revisions grow with each change to the store, across all keys.
struct MetadataItem {
    std::string key;
    std::string value;
    /// Revision of the last change.
    std::uint64_t revision = 0;
    /// Revision at which the key was created.
    std::uint64_t createdRevision = 0;
    /// Lease to which the key is attached, or zero.
    std::uint64_t lease = 0;
    /// Set in events of a watch when the key was removed at the revision.
    bool isRemoval = false;
};

enum class MetadataStatus {
    Done,
    /// A precondition did not hold; nothing was changed.
    Conflict,
    /// The key or lease does not exist; nothing was changed.
    NotFound,
    /// The store no longer has the history after the revision that the watch asked for.
    HistoryGone,
    /// The store refused the call or could not be connected to; nothing was changed.
    Refused,
    /// No answer arrived: the call may have been executed, or may still be.
    Unknown,
};

/// Returns the name of a status for log lines.
std::string_view metadataStatusName(MetadataStatus status);

struct MetadataReply {
    MetadataStatus status = MetadataStatus::Unknown;
    /// The items read, the events of a watch, or the current items of the preconditions of a commit that failed.
    std::vector<MetadataItem> items;
    /// Set for lists when another page follows the last item.
    bool hasMore = false;
    /// The revision of the store; for a commit, the revision of the change.
    std::uint64_t revision = 0;
    /// Set for leases only.
    std::uint64_t lease = 0;
    Milliseconds leaseDuration{0};
};

/// Requires that the last change of a key has this revision, or that the key does not exist if the revision is zero.
struct Precondition {
    std::string key;
    std::uint64_t revision = 0;
};

struct MetadataWrite {
    std::string key;
    std::string value;
    std::uint64_t lease = 0;
};

/// A set of writes and removals that is applied atomically if all preconditions hold.
struct MetadataChange {
    std::vector<Precondition> preconditions;
    std::vector<MetadataWrite> writes;
    std::vector<std::string> removals;
};

/// Client interface of the platform's key-value service: linearizable reads, conditional writes over several keys, leases
/// and watches. Calls return at once, and the callback runs later on the same thread. Every call counts against the rate
/// limits of the service.
class MetadataStore
{
public:
    using Callback = std::function<void(MetadataReply)>;

    virtual ~MetadataStore() = default;

    virtual void get(const std::string &key, Callback callback) = 0;

    /// Reads one page of the items whose keys start with the prefix and sort after afterKey.
    virtual void list(const std::string &prefix, const std::string &afterKey, Callback callback) = 0;

    /// Waits until a key below the prefix has changed after the revision, or until the span is over.
    virtual void watch(const std::string &prefix, std::uint64_t afterRevision, Milliseconds span, Callback callback) = 0;

    virtual void commit(const MetadataChange &change, Callback callback) = 0;

    virtual void createLease(Milliseconds span, Callback callback) = 0;
    virtual void renewLease(std::uint64_t lease, Callback callback) = 0;
    virtual void revokeLease(std::uint64_t lease, Callback callback) = 0;
};

}
