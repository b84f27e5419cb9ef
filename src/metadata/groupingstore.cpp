#include "metadata/groupingstore.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

std::size_t entryCount(const MetadataChange &change)
{
    return change.preconditions.size() + change.writes.size() + change.removals.size();
}

std::size_t valueBytes(const MetadataChange &change)
{
    std::size_t bytes = 0;
    for (const auto &write : change.writes) {
        bytes += write.value.size();
    }
    return bytes;
}

bool hasPrecondition(const MetadataChange &change, const Precondition &wanted)
{
    return std::any_of(change.preconditions.begin(), change.preconditions.end(), [&wanted](const Precondition &known) {
        return known.key == wanted.key && known.revision == wanted.revision;
    });
}

/// Returns the change extended by another one, without repeating preconditions that it already has.
MetadataChange merged(MetadataChange change, const MetadataChange &added)
{
    for (const auto &precondition : added.preconditions) {
        if (!hasPrecondition(change, precondition)) {
            change.preconditions.push_back(precondition);
        }
    }
    change.writes.insert(change.writes.end(), added.writes.begin(), added.writes.end());
    change.removals.insert(change.removals.end(), added.removals.begin(), added.removals.end());
    return change;
}

}

GroupingStore::GroupingStore(MetadataStore &store, EventLoop loop)
    : m_store(store)
    , m_loop(std::move(loop))
{
}

void GroupingStore::commit(const MetadataChange &change, Callback callback)
{
    m_pendingChanges.push_back({change, std::move(callback)});
    if (!m_isFlushScheduled) {
        m_isFlushScheduled = true;
        m_loop.runAfter(Milliseconds(0), [this] { flush(); });
    }
}

void GroupingStore::flush()
{
    m_isFlushScheduled = false;
    while (!m_pendingChanges.empty()) {
        commitGroup(takeGroup());
    }
}

GroupingStore::Group GroupingStore::takeGroup()
{
    Group group;
    while (!m_pendingChanges.empty()) {
        auto change = merged(group.change, m_pendingChanges.front().change);
        if (!group.parts.empty() && (entryCount(change) > MaxEntries || valueBytes(change) > MaxBytes)) {
            break;
        }
        group.change = std::move(change);
        group.parts.push_back(std::move(m_pendingChanges.front()));
        m_pendingChanges.pop_front();
    }
    return group;
}

void GroupingStore::commitGroup(Group group)
{
    if (group.parts.size() == 1) {
        m_store.commit(group.change, std::move(group.parts.front().callback));
        return;
    }
    const auto change = std::move(group.change);
    m_store.commit(change, [this, parts = std::make_shared<std::vector<PendingChange>>(std::move(group.parts))](const MetadataReply &reply) {
        for (auto &part : *parts) {
            if (reply.status == MetadataStatus::Conflict || reply.status == MetadataStatus::NotFound) {
                m_store.commit(part.change, std::move(part.callback));
            } else {
                part.callback(reply);
            }
        }
    });
}

void GroupingStore::get(const std::string &key, Callback callback)
{
    m_store.get(key, std::move(callback));
}

void GroupingStore::list(const std::string &prefix, const std::string &afterKey, Callback callback)
{
    m_store.list(prefix, afterKey, std::move(callback));
}

void GroupingStore::watch(const std::string &prefix, std::uint64_t afterRevision, Milliseconds span, Callback callback)
{
    m_store.watch(prefix, afterRevision, span, std::move(callback));
}

void GroupingStore::createLease(Milliseconds span, Callback callback)
{
    m_store.createLease(span, std::move(callback));
}

void GroupingStore::renewLease(std::uint64_t lease, Callback callback)
{
    m_store.renewLease(lease, std::move(callback));
}

void GroupingStore::revokeLease(std::uint64_t lease, Callback callback)
{
    m_store.revokeLease(lease, std::move(callback));
}

}
