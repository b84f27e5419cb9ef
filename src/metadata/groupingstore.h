#pragma once

#include "base/eventloop.h"
#include "metadata/metadatastore.h"

#include <deque>
#include <memory>
#include <vector>

namespace Basilbend
{

/// Combines commits from the same iteration of the event loop into one call, because the store counts calls rather than what
/// they contain. Combined changes must be independent of each other: if the combined commit fails with a conflict or a
/// missing key, each change is committed separately.
class GroupingStore : public MetadataStore
{
public:
    GroupingStore(MetadataStore &store, EventLoop loop);

    void get(const std::string &key, Callback callback) override;
    void list(const std::string &prefix, const std::string &afterKey, Callback callback) override;
    void watch(const std::string &prefix, std::uint64_t afterRevision, Milliseconds span, Callback callback) override;
    void commit(const MetadataChange &change, Callback callback) override;
    void createLease(Milliseconds span, Callback callback) override;
    void renewLease(std::uint64_t lease, Callback callback) override;
    void revokeLease(std::uint64_t lease, Callback callback) override;

    /// Limits of one call: the number of preconditions, writes and removals together, and the total size of the values in
    /// bytes.
    static constexpr std::size_t MaxEntries = 32;
    static constexpr std::size_t MaxBytes = 800 * 1000;

private:
    struct PendingChange {
        MetadataChange change;
        Callback callback;
    };

    struct Group {
        MetadataChange change;
        std::vector<PendingChange> parts;
    };

    void flush();
    Group takeGroup();
    void commitGroup(Group group);

    MetadataStore &m_store;
    EventLoop m_loop;
    std::deque<PendingChange> m_pendingChanges;
    bool m_isFlushScheduled = false;
};

}
