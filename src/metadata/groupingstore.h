#pragma once

#include "base/eventloop.h"
#include "metadata/metadatastore.h"

#include <deque>
#include <memory>
#include <vector>

namespace Basilbend
{

/// Joins changes that are made in the same turn of the loop into one call, because the store counts calls and not what they
/// hold. Joined changes must be independent of each other: when the joined one meets a conflict, each is made for itself.
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

    /// What one call may hold: preconditions, writes and removals together, and bytes of values.
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
