#pragma once

#include "base/eventloop.h"
#include "base/random.h"
#include "election/candidacyrule.h"
#include "election/leaderrecord.h"
#include "log/eventlog.h"
#include "metadata/prefixfeed.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Basilbend
{

struct ElectionSettings {
    std::string node;
    std::string incarnation;
    /// Address at which other processes of the system reach this one, published in the leader's record.
    std::string address;
    /// Duration of the lease in the metadata store.
    Milliseconds leaseSpan{1500};
    Milliseconds renewInterval{400};
    /// The leader stops acting this long before its lease can expire.
    Milliseconds leaseMargin{300};
    /// Maximum random delay before a candidacy, so that candidates do not collide.
    Milliseconds jitter{120};
    Milliseconds watchSpan{5000};
    CandidacyRule rule;
};

struct ElectionHooks {
    /// Called when this process becomes leader. continued is set if no other process has led since it last led, so that its
    /// state is still valid.
    std::function<void(bool continued)> onElected;
    /// Called when another process has replaced this one as leader.
    std::function<void()> onDeposed;
};

/// Elects one leader through a key under a lease in the metadata store. The revision of the key is the fencing token: it
/// grows with each leader. The leader measures its lease from the moment at which it sent the renewal, on a clock that
/// advances while the process is suspended, and acts only while mayAct() returns true, which it checks right before each
/// action.
class LeaderElection
{
public:
    LeaderElection(MetadataStore &store, EventLoop loop, EventLog &log, Random &random, ElectionSettings settings, ElectionHooks hooks);

    void start();

    /// Ends the lease and the leadership; the process does not run again.
    void resign();

    bool mayAct() const;

    /// Whether this process was elected and does not know of a successor. Stays true while the store is unreachable, although
    /// the lease may have expired and another process may lead by then; mayAct() is false in that case.
    bool isLeader() const
    {
        return m_term != 0;
    }

    /// The fencing token, which is the revision of holderKey(); zero if this process does not lead.
    std::uint64_t term() const
    {
        return m_term;
    }

    /// Time until which no other process can be elected; meaningless if this process does not lead.
    Timestamp leaseValidUntil() const
    {
        return m_leaseValidUntil;
    }

    /// Time since the lease may have expired; zero while it is valid or this process does not lead.
    Milliseconds timeSinceLeaseExpiry() const;

    static std::string holderKey();

private:
    void applyItem(const MetadataItem &item);
    void evaluate();
    void startCandidacy();
    void commitCandidacy(std::uint64_t lease, Timestamp leaseSentAt);
    void verifyCandidacy(std::uint64_t lease, Timestamp leaseSentAt);
    void becomeLeader(std::uint64_t term, std::uint64_t lease, Timestamp leaseSentAt, Milliseconds span);
    void scheduleCandidacyRetry();
    void scheduleRenewal();
    void renew();
    void loseLease();
    void handleDeposition(const LeaderRecord &leader);
    /// Whether the record was written by an earlier process on this host, which has ended.
    bool isFromEarlierIncarnation(const MetadataItem &item) const;
    bool isFromThisIncarnation(const MetadataItem &item) const;

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    Random &m_random;
    ElectionSettings m_settings;
    ElectionHooks m_hooks;
    PrefixFeed m_feed;
    Timestamp m_startedAt;
    std::optional<Timestamp> m_lastLedAt;
    std::vector<std::string> m_recentLeaders;
    std::uint64_t m_recentLeadersRevision = 0;
    std::optional<MetadataItem> m_holder;
    bool m_isStateKnown = false;
    bool m_isCandidate = false;
    bool m_hasResigned = false;
    std::uint64_t m_attempt = 0;
    std::uint64_t m_term = 0;
    std::uint64_t m_lease = 0;
    Timestamp m_leaseValidUntil;
    std::uint64_t m_generation = 0;
    /// Set when this process has led and no other process has led since.
    bool m_mayContinue = false;
};

}
