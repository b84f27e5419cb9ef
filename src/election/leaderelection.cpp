#include "election/leaderelection.h"

namespace Basilbend
{

namespace
{

constexpr const char *Prefix = "leader/";
constexpr const char *HolderKey = "leader/holder";
constexpr const char *RecentKey = "leader/recent";
constexpr Milliseconds RetryPause{250};

}

LeaderElection::LeaderElection(MetadataStore &store, EventLoop loop, EventLog &log, Random &random, ElectionSettings settings, ElectionHooks hooks)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_log(log)
    , m_random(random)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_feed(store,
             m_loop,
             Prefix,
             m_settings.watchSpan,
             {[this](const std::vector<MetadataItem> &items) {
                  m_holder.reset();
                  m_succession.clear();
                  for (const auto &item : items) {
                      applyItem(item);
                  }
                  m_isStateKnown = true;
                  evaluate();
              },
              [this](const MetadataItem &item) {
                  applyItem(item);
                  evaluate();
              },
              [this](bool reachable) {
                  m_log.warning(reachable ? "store_regained" : "store_lost", {{"feed", "leader"}, {"term", m_term}});
              }})
    , m_startedAt(m_loop.now())
{
}

std::string LeaderElection::holderKey()
{
    return HolderKey;
}

void LeaderElection::start()
{
    m_feed.start();
}

bool LeaderElection::mayAct() const
{
    return m_term != 0 && m_loop.now() < m_leaseValidUntil;
}

Milliseconds LeaderElection::timeSinceLeaseExpiry() const
{
    const auto now = m_loop.now();
    return m_term == 0 || now < m_leaseValidUntil ? Milliseconds(0) : now - m_leaseValidUntil;
}

bool LeaderElection::isFromEarlierIncarnation(const MetadataItem &item) const
{
    const auto record = decodeLeaderRecord(item.value);
    return record && record->node == m_settings.node && record->incarnation != m_settings.incarnation;
}

bool LeaderElection::isFromThisIncarnation(const MetadataItem &item) const
{
    const auto record = decodeLeaderRecord(item.value);
    return record && record->node == m_settings.node && record->incarnation == m_settings.incarnation;
}

bool LeaderElection::isFromThisAttempt(const MetadataItem &item) const
{
    const auto record = decodeLeaderRecord(item.value);
    return record && isFromThisIncarnation(item) && record->attempt == m_attempt;
}

void LeaderElection::applyItem(const MetadataItem &item)
{
    if (item.key == RecentKey && !item.isRemoval) {
        m_recentLeaders = decodeRecentLeaders(item.value);
        m_recentLeadersRevision = item.revision;
        noteSuccessor();
    } else if (item.key == HolderKey) {
        m_holder = item.isRemoval ? std::nullopt : std::optional(item);
        rememberAddress(item);
    } else {
        m_succession.apply(item);
    }
}

void LeaderElection::noteSuccessor()
{
    const bool hasSuccessor = !m_recentLeaders.empty() && m_recentLeaders.front() != m_settings.node && m_recentLeadersRevision > m_lastTerm;
    if (!m_mayContinue || !hasSuccessor) {
        return;
    }
    if (m_term != 0) {
        loseLease();
    }
    m_mayContinue = false;
    m_log.warning("leadership_lost", {{"to", m_recentLeaders.front()}, {"revision", m_recentLeadersRevision}});
    m_hooks.onDeposed();
}

void LeaderElection::rememberAddress(const MetadataItem &item)
{
    const auto record = item.isRemoval ? std::nullopt : decodeLeaderRecord(item.value);
    if (record) {
        m_lastLeaderAddress = record->node == m_settings.node ? std::string() : record->address;
    }
}

void LeaderElection::evaluate()
{
    if (!m_isStateKnown || m_hasResigned) {
        return;
    }
    if (m_term != 0 && m_hooks.onOffersChanged) {
        m_hooks.onOffersChanged();
    }
    answerRequest();
    if (m_holder && m_term == 0 && isFromEarlierIncarnation(*m_holder)) {
        // A host runs one such process, so the earlier leader has ended and its lease need not expire first.
        startCandidacy();
        return;
    }
    if (m_holder) {
        const auto record = decodeLeaderRecord(m_holder->value);
        if (!isFromThisIncarnation(*m_holder) && record && m_holder->revision > m_term) {
            handleDeposition(*record);
        }
        return;
    }
    if (m_term != 0) {
        loseLease();
    }
    startCandidacy();
}

void LeaderElection::handleDeposition(const LeaderRecord &leader)
{
    const bool wasLeader = m_term != 0 || m_mayContinue;
    m_mayContinue = false;
    if (m_term != 0) {
        m_lastLedAt = m_loop.now();
    }
    m_term = 0;
    m_lease = 0;
    ++m_generation;
    m_isCandidate = false;
    if (wasLeader) {
        m_log.warning("leadership_lost", {{"to", leader.node}, {"revision", m_holder->revision}});
        m_hooks.onDeposed();
    }
}

void LeaderElection::loseLease()
{
    m_log.warning("lease_lost", {{"term", m_term}, {"uncertain_ms", timeSinceLeaseExpiry()}});
    m_lastLedAt = m_loop.now();
    m_term = 0;
    m_lease = 0;
    ++m_generation;
}

void LeaderElection::startCandidacy()
{
    if (m_isCandidate || m_hasResigned || m_term != 0) {
        return;
    }
    const auto now = m_loop.now();
    if (!m_settings.rule.isEligible(m_settings.node, m_recentLeaders, m_startedAt, m_lastLedAt, now)) {
        scheduleCandidacyRetry();
        return;
    }
    m_isCandidate = true;
    const auto generation = ++m_generation;
    const bool hasNoRival = m_mayContinue || m_holder;
    if (hasNoRival) {
        m_loop.runAfter(Milliseconds(0), [this, generation] { createLease(generation); });
        return;
    }
    m_loop.runAfter(candidacyDelay(), [this, generation] { runAfterLeaderReturn([this, generation] { createLease(generation); }); });
}

Milliseconds LeaderElection::candidacyDelay()
{
    const auto successor = m_succession.successorOf(m_recentLeadersRevision);
    if (successor == m_settings.node) {
        return Milliseconds(0);
    }
    const Milliseconds jitter(m_random.below(static_cast<std::uint64_t>(m_settings.jitter.count()) + 1));
    return successor ? m_settings.successorTime + jitter : jitter;
}

void LeaderElection::runAfterLeaderReturn(std::function<void()> step)
{
    if (!m_hooks.askLeader || m_lastLeaderAddress.empty()) {
        step();
        return;
    }
    m_hooks.askLeader(m_lastLeaderAddress, [this, step = std::move(step)](bool wantsToContinue) {
        m_log.info("last_leader_asked", {{"address", m_lastLeaderAddress}, {"continues", wantsToContinue}});
        m_loop.runAfter(wantsToContinue ? m_settings.leaderReturnTime : Milliseconds(0), step);
    });
}

void LeaderElection::createLease(std::uint64_t generation)
{
    if (generation != m_generation || (m_holder && !isFromEarlierIncarnation(*m_holder))) {
        m_isCandidate = false;
        return;
    }
    const auto sentAt = m_loop.now();
    m_store.createLease(m_settings.leaseSpan, [this, generation, sentAt](const MetadataReply &reply) {
        if (generation != m_generation) {
            return;
        }
        if (reply.status == MetadataStatus::Done) {
            commitCandidacy(reply.lease, sentAt);
        } else {
            m_isCandidate = false;
            scheduleCandidacyRetry();
        }
    });
}

void LeaderElection::scheduleCandidacyRetry()
{
    m_loop.runAfter(RetryPause, [this] { evaluate(); });
}

void LeaderElection::commitCandidacy(std::uint64_t lease, Timestamp leaseSentAt)
{
    const LeaderRecord record{m_settings.node, m_settings.incarnation, ++m_attempt, m_settings.address};
    MetadataChange change;
    // There is no leader, or the record was left by an earlier process on this host.
    m_replacedEarlierIncarnation = m_holder.has_value();
    change.preconditions.push_back({HolderKey, m_holder ? m_holder->revision : 0});
    // Fails if another process has led that this one does not know of yet.
    change.preconditions.push_back({RecentKey, m_recentLeadersRevision});
    change.writes.push_back({HolderKey, encodeLeaderRecord(record), lease});
    change.writes.push_back({RecentKey, encodeRecentLeaders(withNewestLeader(m_settings.node, m_recentLeaders)), 0});
    m_store.commit(change, [this, generation = m_generation, lease, leaseSentAt](const MetadataReply &reply) {
        if (generation != m_generation) {
            return;
        }
        switch (reply.status) {
        case MetadataStatus::Done:
            becomeLeader(reply.revision, lease, leaseSentAt, m_settings.leaseSpan);
            break;
        case MetadataStatus::Unknown:
            verifyCandidacy(lease, leaseSentAt);
            break;
        default:
            m_isCandidate = false;
            m_store.revokeLease(lease, [](const MetadataReply &) {});
            scheduleCandidacyRetry();
            break;
        }
    });
}

void LeaderElection::verifyCandidacy(std::uint64_t lease, Timestamp leaseSentAt)
{
    m_store.get(HolderKey, [this, generation = m_generation, lease, leaseSentAt](const MetadataReply &reply) {
        if (generation != m_generation) {
            return;
        }
        // The record of an earlier attempt is bound to another lease, which nobody renews.
        const bool isElected = reply.status == MetadataStatus::Done && !reply.items.empty() && isFromThisAttempt(reply.items.front());
        if (isElected) {
            becomeLeader(reply.items.front().revision, lease, leaseSentAt, m_settings.leaseSpan);
            return;
        }
        m_isCandidate = false;
        scheduleCandidacyRetry();
    });
}

void LeaderElection::becomeLeader(std::uint64_t term, std::uint64_t lease, Timestamp leaseSentAt, Milliseconds span)
{
    m_isCandidate = false;
    m_term = term;
    m_lastTerm = term;
    m_lease = lease;
    m_successorRequestedAt.reset();
    m_leaseValidUntil = leaseSentAt + span - m_settings.leaseMargin;
    const bool continued = m_mayContinue;
    m_mayContinue = true;
    m_log.info("leadership_taken", {{"term", term}, {"lease", lease}, {"continued", continued}});
    scheduleRenewal();
    m_hooks.onElected(continued);
}

void LeaderElection::scheduleRenewal()
{
    m_loop.runAfter(m_settings.renewInterval, [this, generation = m_generation] {
        if (generation == m_generation && m_term != 0) {
            renew();
            scheduleRenewal();
        }
    });
}

void LeaderElection::renew()
{
    const auto sentAt = m_loop.now();
    m_store.renewLease(m_lease, [this, generation = m_generation, sentAt](const MetadataReply &reply) {
        if (generation != m_generation || m_term == 0) {
            return;
        }
        if (reply.status == MetadataStatus::Done) {
            m_leaseValidUntil = std::max(m_leaseValidUntil, sentAt + m_settings.leaseSpan - m_settings.leaseMargin);
        } else if (reply.status == MetadataStatus::NotFound) {
            loseLease();
            m_holder.reset();
            evaluate();
        } else {
            m_log.warning("lease_not_renewed", {{"term", m_term}, {"store", metadataStatusName(reply.status)}, {"uncertain_ms", timeSinceLeaseExpiry()}});
        }
    });
}

void LeaderElection::resign()
{
    if (m_hasResigned) {
        return;
    }
    m_hasResigned = true;
    m_feed.stop();
    if (m_term != 0) {
        m_log.info("leadership_resigned", {{"term", m_term}});
    }
    releaseLease();
}

void LeaderElection::releaseLease()
{
    if (m_term != 0) {
        m_lastLedAt = m_loop.now();
        m_store.revokeLease(m_lease, [](const MetadataReply &) {});
    }
    ++m_generation;
    m_term = 0;
    m_lease = 0;
}

void LeaderElection::requestSuccessor()
{
    const auto now = m_loop.now();
    const bool isEarly = m_successorRequestedAt && now - *m_successorRequestedAt < m_settings.requestInterval;
    if (!mayAct() || isEarly) {
        return;
    }
    m_successorRequestedAt = now;
    const MetadataChange change{{{HolderKey, m_term}}, {{Succession::requestKey(), Succession::encodeRequest(m_term), m_lease}}, {}};
    m_store.commit(change, [this, term = m_term](const MetadataReply &reply) {
        m_log.info("successor_requested", {{"term", term}, {"store", metadataStatusName(reply.status)}});
    });
}

void LeaderElection::answerRequest()
{
    const auto &request = m_succession.request();
    const bool isAsked = request && m_holder && m_term == 0 && request->term == m_holder->revision && request->revision != m_answeredRequest;
    if (!isAsked || m_hasResigned) {
        return;
    }
    m_answeredRequest = request->revision;
    if (!m_settings.rule.isEligible(m_settings.node, m_recentLeaders, m_startedAt, m_lastLedAt, m_loop.now())) {
        retryOffer();
        return;
    }
    m_store.createLease(m_settings.offerSpan, [this, request = *request](const MetadataReply &reply) {
        if (reply.status == MetadataStatus::Done) {
            commitOffer(request, reply.lease);
        } else {
            retryOffer();
        }
    });
}

void LeaderElection::commitOffer(const SuccessorRequest &request, std::uint64_t lease)
{
    const MetadataChange change{
        {{Succession::requestKey(), request.revision}}, {{Succession::offerKey(m_settings.node), Succession::encodeOffer(request.revision), lease}}, {}};
    m_store.commit(change, [this, term = request.term](const MetadataReply &reply) {
        m_log.info("succession_offered", {{"term", term}, {"store", metadataStatusName(reply.status)}});
        // After a conflict there is a newer request, or none.
        if (reply.status != MetadataStatus::Done && reply.status != MetadataStatus::Conflict) {
            retryOffer();
        }
    });
}

void LeaderElection::retryOffer()
{
    m_loop.runAfter(RetryPause, [this] {
        m_answeredRequest = 0;
        answerRequest();
    });
}

void LeaderElection::nameSuccessor(const std::string &node, std::function<void(bool)> callback)
{
    const MetadataChange change{{{HolderKey, m_term}}, {{Succession::successorKey(), Succession::encodeSuccessor(m_term, node), 0}}, {}};
    m_store.commit(change, [this, node, term = m_term, callback = std::move(callback)](const MetadataReply &reply) {
        m_log.info("successor_named", {{"term", term}, {"node", node}, {"store", metadataStatusName(reply.status)}});
        callback(reply.status == MetadataStatus::Done && m_term == term);
    });
}

void LeaderElection::yield()
{
    if (m_hasResigned || m_term == 0) {
        return;
    }
    m_log.info("leadership_yielded", {{"term", m_term}});
    // A later election starts anew: what this process ran has ended.
    m_mayContinue = false;
    m_isCandidate = false;
    releaseLease();
}

}
