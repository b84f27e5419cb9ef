#pragma once

#include "store/createonce.h"
#include "usage/usagebatch.h"

namespace Basilbend
{

struct UsageAdopterSettings {
    Milliseconds retryPeriod{1000};
    Milliseconds retention{7LL * 24 * 3600 * 1000};

    /// Records that one batch lists, and that are held at a time for one silent incarnation. Sidecars keep the rest.
    std::size_t maxRecords = 1000;

    /// See usageShard().
    unsigned shards = 1;

    /// What is known of a log is forgotten when nobody asked for this span.
    Milliseconds idleSpan{600000};
};

struct UsageAdopterCounts {
    std::uint64_t batches = 0;
    std::uint64_t records = 0;
    std::uint64_t alreadyCovered = 0;
};

/// Appends records that sidecars hold for a silent entry incarnation to that incarnation's log. It reads the end of the log
/// first, so records that the silent entry (or another adopter) has written are not counted again.
class UsageAdopter
{
public:
    UsageAdopter(ProcessIdentity self, UsageAdopterSettings settings, Store &store, NowFunction now);
    UsageAdopter(const UsageAdopter &) = delete;
    UsageAdopter &operator=(const UsageAdopter &) = delete;

    /// Takes records of one incarnation and returns the numbers of those that are in the store already; the sidecar asks
    /// again for the others. The hint is a batch number up to which the log is known to be complete.
    SequenceSet receive(const std::string &entry, std::uint64_t incarnation, std::uint64_t hint, const std::vector<UsageRecord> &records);

    /// Reads and writes what is due; call it at least once a second.
    void tick();

    const UsageAdopterCounts &counts() const
    {
        return m_counts;
    }

private:
    struct Log {
        std::uint64_t hint = 0;
        std::uint64_t next = 0;
        bool atEnd = false;
        SequenceSet covered;
        std::map<std::uint64_t, UsageRecord> waiting;
        std::vector<UsageRecord> frozen;
        std::string frozenText;
        bool outcomeUnknown = false;
        bool busy = false;
        Timestamp nextTry;
        Timestamp lastAsked;
    };
    using Name = std::pair<std::string, std::uint64_t>;

    std::string key(const Name &name, const Log &log) const;
    void advance(const Name &name, Log &log);
    void readNext(const Name &name, Log &log);
    void write(const Name &name, Log &log);
    void finish(Log &log, const CreateOutcome &outcome);
    void pass(Log &log, const StoreEntry &entry);

    const ProcessIdentity m_self;
    const UsageAdopterSettings m_settings;
    Store &m_store;
    const NowFunction m_now;
    UsageAdopterCounts m_counts;
    std::map<Name, Log> m_logs;
    std::uint64_t m_write = 0;
};

}
