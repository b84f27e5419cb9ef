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
    /// Where other processes of the system reach this one; told by the leader's record.
    std::string address;
    /// Span of the lease in the metadata store.
    Milliseconds leaseSpan{1500};
    Milliseconds renewInterval{400};
    /// The leader stops to act this long before its lease can end.
    Milliseconds leaseMargin{300};
    /// Longest random wait before standing, so that candidates do not collide.
    Milliseconds jitter{120};
    Milliseconds watchSpan{5000};
    CandidacyRule rule;
};

struct ElectionHooks {
    /// This process leads. Continued: nobody led since it led last, so what it holds is still right.
    std::function<void(bool continued)> onElected;
    /// Another process leads.
    std::function<void()> onDeposed;
};

/// Chooses one leader by a key under a lease in the metadata store. The key's revision is the fencing token: it grows with
/// each leader. The leader counts its lease from the moment at which it sent the renewal, on a clock that goes on while the
/// process is suspended, and acts only while mayAct() holds, checked right before each act.
class LeaderElection
{
public:
    LeaderElection(MetadataStore &store, EventLoop loop, EventLog &log, Random &random, ElectionSettings settings, ElectionHooks hooks);

    void start();

    /// Gives up the lease and does not stand again.
    void resign();

    bool mayAct() const;

    /// Elected and not replaced, as far as this process knows; the lease may be uncertain while the store is away.
    bool isLeader() const
    {
        return m_term != 0;
    }

    /// The fencing token, and the revision of holderKey(); zero: this process does not lead.
    std::uint64_t term() const
    {
        return m_term;
    }

    /// How long the lease has been uncertain; zero while mayAct() holds.
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
    /// Written by a process of this host that has ended since.
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
    /// Led in this process, and nobody else since.
    bool m_mayContinue = false;
};

}
