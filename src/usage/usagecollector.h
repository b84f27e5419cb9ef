#pragma once

#include "store/createonce.h"
#include "usage/usagebatch.h"

namespace Basilbend
{

struct UsageCollectorSettings {
    Milliseconds batchPeriod{10000};

    /// Wait after a write that did not succeed, in addition to the backoff of the call budget.
    Milliseconds retryPeriod{1000};

    /// Batches leave the store after this span; windows are sealed long before.
    Milliseconds retention{7LL * 24 * 3600 * 1000};
};

struct UsageCollectorCounts {
    std::uint64_t records = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t batches = 0;
    std::uint64_t takenByOthers = 0;
    std::uint64_t unreadableBatches = 0;
};

/// Sums usage records of one entry incarnation and writes them to its log as numbered batches. What cannot be written stays
/// in one open batch, which grows in place: sums per workspace and window, and the attempt numbers as intervals.
class UsageCollector
{
public:
    UsageCollector(ProcessIdentity self, UsageCollectorSettings settings, UsageKeys keys, Store &store, NowFunction now);
    UsageCollector(const UsageCollector &) = delete;
    UsageCollector &operator=(const UsageCollector &) = delete;

    /// Counts a finished attempt of this incarnation once, however often its record arrives.
    void add(const UsageRecord &record);

    /// Notes that an attempt of this incarnation ended without usage, so that its number leaves no gap. Only for attempts
    /// that no sidecar holds a record of.
    void settle(std::uint64_t sequence);

    /// Writes what is due; call it at least once a second.
    void tick();

    /// Writes at the next tick whatever is held; for the shutdown.
    void flush();

    /// True when everything added is in the store.
    bool isFlushed() const;

    /// True once the attempt is in a batch in the store; sidecars may forget it then.
    bool isCovered(std::uint64_t sequence) const
    {
        return m_durable.contains(sequence);
    }

    /// Number of the next batch: a lower bound from which others look for the end of the log.
    std::uint64_t nextBatch() const
    {
        return m_number;
    }
    const ProcessIdentity &self() const
    {
        return m_self;
    }
    const UsageCollectorCounts &counts() const
    {
        return m_counts;
    }

private:
    struct Part {
        UsageFigures figures;
        SequenceSet sequences;
    };

    void freeze();
    void reopen();
    void write();
    void finish(const CreateOutcome &outcome);
    void yieldTo(const StoreEntry &entry);

    const ProcessIdentity m_self;
    const UsageCollectorSettings m_settings;
    const UsageKeys m_keys;
    Store &m_store;
    const NowFunction m_now;
    UsageCollectorCounts m_counts;

    SequenceSet m_durable;
    Part m_open;
    /// The part in the write under way, and its exact bytes; kept unchanged while the outcome is unknown.
    Part m_frozen;
    std::string m_frozenText;
    bool m_outcomeUnknown = false;
    bool m_busy = false;
    std::uint64_t m_number = 0;
    std::uint64_t m_write = 0;
    Timestamp m_nextWrite;
};

}
