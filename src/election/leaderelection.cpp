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
                  for (const auto &item : items) {
                      applyItem(item);
                  }
                  m_known = true;
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
    return m_term != 0 && m_loop.now() < m_validUntil;
}

Milliseconds LeaderElection::uncertainFor() const
{
    const auto now = m_loop.now();
    return m_term == 0 || now < m_validUntil ? Milliseconds(0) : now - m_validUntil;
}

bool LeaderElection::isOfEarlierProcess(const MetadataItem &item) const
{
    const auto record = decodeLeaderRecord(item.value);
    return record && record->node == m_settings.node && record->incarnation != m_settings.incarnation;
}

bool LeaderElection::isMine(const MetadataItem &item) const
{
    const auto record = decodeLeaderRecord(item.value);
    return record && record->node == m_settings.node && record->incarnation == m_settings.incarnation;
}

void LeaderElection::applyItem(const MetadataItem &item)
{
    if (item.key == RecentKey && !item.isRemoval) {
        m_recentLeaders = decodeRecentLeaders(item.value);
        m_recentRevision = item.revision;
    } else if (item.key == HolderKey) {
        m_holder = item.isRemoval ? std::nullopt : std::optional(item);
    }
}

void LeaderElection::evaluate()
{
    if (!m_known || m_resigned) {
        return;
    }
    if (m_holder && m_term == 0 && isOfEarlierProcess(*m_holder)) {
        // A host runs one such process, so the one that led has ended; nobody has to wait for the end of its lease.
        stand();
        return;
    }
    if (m_holder) {
        const auto record = decodeLeaderRecord(m_holder->value);
        if (!isMine(*m_holder) && record && m_holder->revision > m_term) {
            deposed(*record);
        }
        return;
    }
    if (m_term != 0) {
        loseLease();
    }
    stand();
}

void LeaderElection::deposed(const LeaderRecord &leader)
{
    const bool wasLeader = m_term != 0 || m_mayContinue;
    m_mayContinue = false;
    if (m_term != 0) {
        m_lastLedAt = m_loop.now();
    }
    m_term = 0;
    m_lease = 0;
    ++m_generation;
    m_standing = false;
    if (wasLeader) {
        m_log.warning("leadership_lost", {{"to", leader.node}, {"revision", m_holder->revision}});
        m_hooks.onDeposed();
    }
}

void LeaderElection::loseLease()
{
    m_log.warning("lease_lost", {{"term", m_term}, {"uncertain_ms", uncertainFor()}});
    m_lastLedAt = m_loop.now();
    m_term = 0;
    m_lease = 0;
    ++m_generation;
}

void LeaderElection::stand()
{
    if (m_standing || m_resigned || m_term != 0) {
        return;
    }
    const auto now = m_loop.now();
    if (!m_settings.rule.mayStand(m_settings.node, m_recentLeaders, m_startedAt, m_lastLedAt, now)) {
        standAgainLater();
        return;
    }
    m_standing = true;
    const bool hasNoRival = m_mayContinue || m_holder;
    const auto wait = hasNoRival ? Milliseconds(0) : Milliseconds(m_random.below(static_cast<std::uint64_t>(m_settings.jitter.count()) + 1));
    m_loop.runAfter(wait, [this, generation = ++m_generation] {
        if (generation != m_generation || (m_holder && !isOfEarlierProcess(*m_holder))) {
            m_standing = false;
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
                m_standing = false;
                standAgainLater();
            }
        });
    });
}

void LeaderElection::standAgainLater()
{
    m_loop.runAfter(RetryPause, [this] { evaluate(); });
}

void LeaderElection::commitCandidacy(std::uint64_t lease, Timestamp leaseSentAt)
{
    const LeaderRecord record{m_settings.node, m_settings.incarnation, ++m_attempt, m_settings.address};
    MetadataChange change;
    // Nobody leads, or the record is the one that an earlier process of this host has left.
    change.preconditions.push_back({HolderKey, m_holder ? m_holder->revision : 0});
    // A leader that this process has not heard of would show here.
    change.preconditions.push_back({RecentKey, m_recentRevision});
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
            m_standing = false;
            m_store.endLease(lease, [](const MetadataReply &) {});
            standAgainLater();
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
        const bool isElected = reply.status == MetadataStatus::Done && !reply.items.empty() && isMine(reply.items.front());
        if (isElected) {
            becomeLeader(reply.items.front().revision, lease, leaseSentAt, m_settings.leaseSpan);
            return;
        }
        m_standing = false;
        standAgainLater();
    });
}

void LeaderElection::becomeLeader(std::uint64_t term, std::uint64_t lease, Timestamp leaseSentAt, Milliseconds span)
{
    m_standing = false;
    m_term = term;
    m_lease = lease;
    m_validUntil = leaseSentAt + span - m_settings.leaseMargin;
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
            m_validUntil = std::max(m_validUntil, sentAt + m_settings.leaseSpan - m_settings.leaseMargin);
        } else if (reply.status == MetadataStatus::NotFound) {
            loseLease();
            m_holder.reset();
            evaluate();
        } else {
            m_log.warning("lease_not_renewed", {{"term", m_term}, {"store", metadataStatusName(reply.status)}, {"uncertain_ms", uncertainFor()}});
        }
    });
}

void LeaderElection::resign()
{
    if (m_resigned) {
        return;
    }
    m_resigned = true;
    m_feed.stop();
    ++m_generation;
    if (m_term != 0) {
        m_log.info("leadership_resigned", {{"term", m_term}});
        m_store.endLease(m_lease, [](const MetadataReply &) {});
    }
    m_term = 0;
    m_lease = 0;
}

}
