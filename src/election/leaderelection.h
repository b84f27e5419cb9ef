#pragma once

#include "base/eventloop.h"
#include "base/random.h"
#include "election/candidacyrule.h"
#include "election/leaderrecord.h"
#include "election/succession.h"
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
    /// How long other candidates wait for a leader whose lease has expired but whose process says that it goes on. It learns of the
    /// end of an outage of the store up to this much later than they do.
    Milliseconds leaderReturnTime{500};
    /// How long candidates wait for the process that a leader has chosen to follow it. Longer than its lease and its commit take.
    Milliseconds successorTime{1000};
    /// Lease of an offer to follow the leader.
    Milliseconds offerSpan{5000};
    /// Shortest time between two requests for a successor, so that offers which the leader could not use are renewed.
    Milliseconds requestInterval{3000};
    Milliseconds watchSpan{5000};
    CandidacyRule rule;
};

struct ElectionHooks {
    /// Called when this process becomes leader. continued is set if no other process has led since it last led, so that its
    /// state is still valid.
    std::function<void(bool continued)> onElected;
    /// Called when another process has replaced this one as leader.
    std::function<void()> onDeposed;
    /// Asks the process at the address whether it led last and wants to go on, see LeaderElection::wantsToContinue(), and passes on
    /// the answer, or false if there is none soon. May be null.
    std::function<void(const std::string &address, std::function<void(bool)> callback)> askLeader = nullptr;
    /// Called on the leader when the offers to follow it may have changed, see LeaderElection::requestSuccessor(). May be null.
    std::function<void()> onOffersChanged = nullptr;
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

    /// Asks the other processes for offers to follow this one; does nothing if this process may not act or has asked within the
    /// request interval. The leadership goes on.
    void requestSuccessor();

    /// Names of the processes that have offered to follow and were able to write that to the metadata store.
    std::vector<std::string> successorOffers() const
    {
        return m_succession.offers();
    }

    /// Records the process that should follow this one. The callback receives whether the record is stored; the leadership goes on
    /// until yield() is called.
    void nameSuccessor(const std::string &node, std::function<void(bool isNamed)> callback);

    /// Ends the lease and the leadership in favour of the named successor. This process takes part in later elections, so it leads
    /// again if nobody has followed within the successor time.
    void yield();

    bool mayAct() const;

    /// Whether this process led last, as far as it knows, and would take the leadership again with its state intact.
    bool wantsToContinue() const
    {
        return m_mayContinue && !m_hasResigned;
    }

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

    /// Whether the leadership was taken over from an earlier process on this host, without waiting for the end of its lease.
    bool replacedEarlierIncarnation() const
    {
        return m_replacedEarlierIncarnation;
    }

    /// Time since the lease may have expired; zero while it is valid or this process does not lead.
    Milliseconds timeSinceLeaseExpiry() const;

    static std::string holderKey();

private:
    void applyItem(const MetadataItem &item);
    /// Ends the claim to continue if the list of recent leaders shows that another process has led since this one.
    void noteSuccessor();
    void rememberAddress(const MetadataItem &item);
    void evaluate();
    /// Offers this process as successor if the leader asks for one.
    void answerRequest();
    void commitOffer(const SuccessorRequest &request, std::uint64_t lease);
    void retryOffer();
    void startCandidacy();
    /// Delay before a candidacy of a process that has rivals.
    Milliseconds candidacyDelay();
    /// Calls step when a leader that may still run has had its chance to take the leadership again.
    void runAfterLeaderReturn(std::function<void()> step);
    void createLease(std::uint64_t generation);
    void commitCandidacy(std::uint64_t lease, Timestamp leaseSentAt);
    void verifyCandidacy(std::uint64_t lease, Timestamp leaseSentAt);
    void becomeLeader(std::uint64_t term, std::uint64_t lease, Timestamp leaseSentAt, Milliseconds span);
    void scheduleCandidacyRetry();
    void scheduleRenewal();
    void renew();
    void loseLease();
    /// Ends the lease on purpose.
    void releaseLease();
    void handleDeposition(const LeaderRecord &leader);
    /// Whether the record was written by an earlier process on this host, which has ended.
    bool isFromEarlierIncarnation(const MetadataItem &item) const;
    bool isFromThisIncarnation(const MetadataItem &item) const;
    /// Whether the record was written by the last candidacy of this process.
    bool isFromThisAttempt(const MetadataItem &item) const;

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
    Succession m_succession;
    /// Revision of the request that this process has answered last.
    std::uint64_t m_answeredRequest = 0;
    std::optional<Timestamp> m_successorRequestedAt;
    /// Address of the last known leader; empty if it is unknown or was this process.
    std::string m_lastLeaderAddress;
    bool m_isStateKnown = false;
    bool m_isCandidate = false;
    bool m_hasResigned = false;
    std::uint64_t m_attempt = 0;
    std::uint64_t m_term = 0;
    /// The term of the last leadership of this process; zero if it has not led.
    std::uint64_t m_lastTerm = 0;
    std::uint64_t m_lease = 0;
    Timestamp m_leaseValidUntil;
    bool m_replacedEarlierIncarnation = false;
    std::uint64_t m_generation = 0;
    /// Set when this process has led and no other process has led since.
    bool m_mayContinue = false;
};

}
