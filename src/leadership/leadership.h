#pragma once

#include "base/timestamp.h"
#include "leadership/leadershiprecord.h"
#include "leadership/releaseledger.h"
#include "store/store.h"

#include <optional>
#include <set>

namespace Basilbend
{

struct LeadershipSettings {
    /// The lease ends when the record was not written for this span.
    Milliseconds lease{10000};
    Milliseconds renewPeriod{3000};

    /// The holder stops this much before its lease ends by its own clock.
    Milliseconds margin{2000};

    /// Candidates read the record this often.
    Milliseconds pollPeriod{2000};
    Milliseconds probePeriod{1000};

    /// Wait after the last predecessor is confirmed: longer than the user timeout (3 s) of connections that carry orders.
    Milliseconds confirmationWait{4000};
};

/// What came of a release request.
struct ProbeResult {
    enum class Kind {
        /// No answer, or a failure that proves nothing.
        Silent,
        /// The connection was refused: no process listens at the address.
        Refused,
        Answered,
    };
    Kind kind = Kind::Silent;
    ReleaseAnswer answer;
};

struct LeadershipHooks {
    NowFunction now;

    /// Sends a release request to the process named in it; calls back exactly once.
    std::function<void(const ReleaseRequest &, std::function<void(ProbeResult)>)> probe;

    /// Whether the host of this address has left the platform's host list.
    std::function<bool(const std::string &address)> hostHasLeft;
};

struct LeadershipCounts {
    std::uint64_t takeovers = 0;
    std::uint64_t renewals = 0;
    std::uint64_t losses = 0;
    std::uint64_t confirmedByAnswer = 0;
    std::uint64_t confirmedByAbsence = 0;
    std::uint64_t unreadableRecords = 0;
};

/// Holds one duty by confirmed succession: a successor takes the record when the lease ended, but sends only after every
/// earlier holder is confirmed as stopped. A paused holder answers nothing, so nobody sends until it has answered.
class Leadership
{
public:
    Leadership(std::string duty, ProcessIdentity self, LeadershipSettings settings, Store &store, ReleaseLedger &ledger, LeadershipHooks hooks);
    Leadership(const Leadership &) = delete;
    Leadership &operator=(const Leadership &) = delete;

    /// Only candidates take the duty over; a holder that is no candidate any more keeps it until it resigns.
    void setCandidate(bool candidate);

    /// Starts what is due; call it at least once a second.
    void tick();

    /// Gives the duty up; sends in progress are waited for. A process resigns before it stops listening, because a refused
    /// connection counts as its end.
    void resign();
    bool hasResigned() const;

    /// Registers a send and returns its epoch when this process may send now. Each success needs one endSend().
    std::optional<std::uint64_t> beginSend();
    void endSend(std::uint64_t epoch);

    /// True when a send would be allowed now.
    bool isInCharge() const;

    /// The record as last read or written.
    const std::optional<LeadershipRecord> &record() const
    {
        return m_record;
    }
    const std::string &duty() const
    {
        return m_duty;
    }
    const ProcessIdentity &self() const
    {
        return m_self;
    }
    const LeadershipCounts &counts() const
    {
        return m_counts;
    }

private:
    bool isHolder() const;
    std::string key() const;
    void read();
    void adopt(const std::optional<StoreEntry> &entry);
    void observe(const StoreEntry &entry);
    void write(LeadershipRecord record);
    void finishWrite(const LeadershipRecord &record, Timestamp sentAt, const Result<std::uint64_t> &result);
    void becomeCurrent(LeadershipRecord record, std::uint64_t version, Timestamp writtenAt);
    void takeOver();
    void renew();
    void tickHolder();
    void probePredecessors();
    void finishProbe(const DutyHolder &predecessor, const ProbeResult &result);
    void confirm(const DutyHolder &predecessor);

    const std::string m_duty;
    const ProcessIdentity m_self;
    const LeadershipSettings m_settings;
    Store &m_store;
    ReleaseLedger &m_ledger;
    const LeadershipHooks m_hooks;
    LeadershipCounts m_counts;

    bool m_candidate = false;
    bool m_resigning = false;
    bool m_busy = false;
    /// The record must be read before the next write.
    bool m_mustRead = false;
    /// Send time of the first write whose outcome is unknown; kept until a write is known to be in the store, because an
    /// older write may still take effect after a read that did not show it.
    std::optional<Timestamp> m_unresolvedSince;
    std::optional<LeadershipRecord> m_record;
    std::uint64_t m_version = 0;
    std::uint64_t m_write = 0;
    Timestamp m_versionSeenAt;
    Timestamp m_lastReadAt;
    Timestamp m_nextRead;
    Timestamp m_nextRenewal;
    Timestamp m_nextProbe;
    Timestamp m_leaseUntil;
    Timestamp m_waitUntil;
    /// Confirmed as stopped, still in the stored record: (node, incarnation).
    std::set<std::pair<std::string, std::uint64_t>> m_confirmed;
};

}
