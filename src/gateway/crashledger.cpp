#include "gateway/crashledger.h"

#include "gateway/crashrecord.h"
#include "metadata/watchtiming.h"

#include <algorithm>
#include <utility>

namespace Basilbend
{

namespace
{

constexpr Milliseconds RetryPause{250};

}

CrashLedger::CrashLedger(MetadataStore &store, EventLoop loop, EventLog &log, CrashLedgerHooks hooks)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_log(log)
    , m_hooks(std::move(hooks))
    , m_feed(store, m_loop, CrashPrefix, WatchTiming::spanFor(WatchTiming::RecoveryBound), feedHooks())
{
}

void CrashLedger::start()
{
    m_feed.feed().start();
}

PrefixFeedHooks CrashLedger::feedHooks()
{
    return {[this](const std::vector<MetadataItem> &items) {
                for (const auto &item : items) {
                    apply(item);
                }
            },
            [this](const MetadataItem &item) { apply(item); },
            [this](bool reachable) {
                m_log.warning(reachable ? "store_regained" : "store_lost", {{"feed", "crashes"}});
            }};
}

void CrashLedger::apply(const MetadataItem &item)
{
    const auto crash = item.isRemoval ? decodeCrashKey(item.key) : decodeCrash(item.key, item.value);
    if (!crash) {
        m_log.warning("crash_unreadable", {{"key", item.key}});
    } else if (item.isRemoval) {
        m_hooks.onRemoved(crash->request, crash->endpoint);
    } else {
        m_hooks.onRecorded(*crash);
    }
}

void CrashLedger::record(const EndpointCrash &crash)
{
    enqueue({crashKey(crash.request, crash.endpoint), encodeCrash(crash)});
}

void CrashLedger::remove(const RequestFingerprint &request, const std::vector<EndpointStart> &endpoints)
{
    for (const auto &endpoint : endpoints) {
        enqueue({crashKey(request, endpoint), std::nullopt});
    }
}

void CrashLedger::enqueue(Change change)
{
    if (m_queue.size() >= MaxQueuedChanges) {
        m_log.warning("crash_record_dropped", {{"key", m_queue.front().key}});
        m_queue.pop_front();
    }
    m_queue.push_back(std::move(change));
    if (!m_isWriting) {
        writeNext();
    }
}

void CrashLedger::writeNext()
{
    m_isWriting = !m_queue.empty();
    if (!m_isWriting) {
        return;
    }
    const bool isLeaseUsable = m_lease != 0 && m_loop.now() - m_leaseCreatedAt < LeaseUse;
    if (isLeaseUsable) {
        commitQueued();
    } else {
        createLease();
    }
}

void CrashLedger::createLease()
{
    const auto sentAt = m_loop.now();
    m_store.createLease(LeaseSpan, [this, sentAt](const MetadataReply &reply) {
        if (reply.status != MetadataStatus::Done) {
            retryLater();
            return;
        }
        m_lease = reply.lease;
        m_leaseCreatedAt = sentAt;
        commitQueued();
    });
}

void CrashLedger::commitQueued()
{
    const auto n = std::min(m_queue.size(), MaxChangesPerCommit);
    const std::vector<Change> changes(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(n));
    m_queue.erase(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(n));
    MetadataChange commit;
    for (const auto &change : changes) {
        if (change.value) {
            commit.writes.push_back({change.key, *change.value, m_lease});
        } else {
            commit.removals.push_back(change.key);
        }
    }
    m_store.commit(commit, [this, changes](const MetadataReply &reply) {
        if (reply.status == MetadataStatus::Done) {
            writeNext();
            return;
        }
        // The same change again is harmless: the keys and values do not depend on what the store holds.
        m_queue.insert(m_queue.begin(), changes.begin(), changes.end());
        if (reply.status == MetadataStatus::NotFound) {
            m_lease = 0;
        }
        m_log.warning("crash_not_written", {{"changes", changes.size()}, {"store", metadataStatusName(reply.status)}});
        retryLater();
    });
}

void CrashLedger::retryLater()
{
    m_loop.runAfter(RetryPause, [this] { writeNext(); });
}

}
