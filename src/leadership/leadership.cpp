#include "leadership/leadership.h"

#include <algorithm>

namespace Basilbend
{

Leadership::Leadership(std::string duty, ProcessIdentity self, LeadershipSettings settings, Store &store, ReleaseLedger &ledger, LeadershipHooks hooks)
    : m_duty(std::move(duty))
    , m_self(std::move(self))
    , m_settings(settings)
    , m_store(store)
    , m_ledger(ledger)
    , m_hooks(std::move(hooks))
{
}

void Leadership::setCandidate(bool candidate)
{
    m_candidate = candidate;
}

std::string Leadership::key() const
{
    return "leadership/" + m_duty;
}

bool Leadership::isHolder() const
{
    return m_record && m_record->holder.sameLife(m_self);
}

void Leadership::tick()
{
    const auto now = m_hooks.now();
    if (isHolder()) {
        probePredecessors();
    }
    if (m_busy) {
        return;
    }
    if (m_mustRead) {
        if (now >= m_nextRead) {
            read();
        }
    } else if (isHolder()) {
        tickHolder();
    } else if (m_candidate && !m_resigning && now >= m_nextRead) {
        read();
    }
}

void Leadership::tickHolder()
{
    // A request for the current epoch was answered with a release, so this process can't act in it any more.
    const bool givenUp = m_resigning || m_ledger.isReleased(m_duty, m_record->epoch);
    if (givenUp) {
        if (m_ledger.release(m_duty, m_record->epoch) && m_hooks.now() >= m_nextRenewal) {
            auto record = *m_record;
            record.holder = ProcessIdentity();
            write(std::move(record));
        }
        return;
    }
    if (m_hooks.now() >= m_nextRenewal || !m_confirmed.empty()) {
        renew();
    }
}

void Leadership::read()
{
    m_busy = true;
    m_nextRead = m_hooks.now() + m_settings.pollPeriod;
    m_store.get(key(), [this](Result<std::optional<StoreEntry>> result) {
        m_busy = false;
        if (result.has_value()) {
            adopt(result.value());
        }
    });
}

void Leadership::adopt(const std::optional<StoreEntry> &entry)
{
    m_mustRead = false;
    if (!entry) {
        m_version = 0;
        if (m_candidate && !m_resigning) {
            takeOver();
        }
        return;
    }
    auto record = LeadershipRecord::fromJson(entry->value);
    if (!record) {
        ++m_counts.unreadableRecords;
        return;
    }
    if (record->holder.sameLife(m_self)) {
        if (entry->version != m_version) {
            // One of the writes with an unknown outcome took effect; the lease counts from the first of them.
            becomeCurrent(std::move(*record), entry->version, m_unresolvedSince.value_or(m_leaseUntil - m_settings.lease));
        }
        return;
    }
    if (isHolder()) {
        ++m_counts.losses;
        m_ledger.release(m_duty, m_record->epoch);
        m_confirmed.clear();
    }
    m_unresolvedSince.reset();
    m_record = std::move(record);
    observe(*entry);
}

void Leadership::observe(const StoreEntry &entry)
{
    const auto now = m_hooks.now();
    // After a gap in the reads, for example an outage of the store, the holder gets a whole lease to renew.
    if (entry.version != m_version || now - m_lastReadAt > m_settings.lease) {
        m_version = entry.version;
        m_versionSeenAt = now;
    }
    m_lastReadAt = now;
    const bool ended = m_record->holder.isEmpty() || now - m_versionSeenAt >= m_settings.lease;
    if (ended && m_candidate && !m_resigning) {
        takeOver();
    }
}

void Leadership::takeOver()
{
    LeadershipRecord record = m_record.value_or(LeadershipRecord());
    if (!record.holder.isEmpty()) {
        record.addPredecessor({record.holder, record.epoch});
    }
    record.holder = m_self;
    ++record.epoch;
    write(std::move(record));
}

void Leadership::renew()
{
    auto record = *m_record;
    auto &list = record.predecessors;
    const auto isConfirmed = [this](const DutyHolder &p) { return m_confirmed.count({p.process.node, p.process.incarnation}) > 0; };
    list.erase(std::remove_if(list.begin(), list.end(), isConfirmed), list.end());
    ++m_counts.renewals;
    write(std::move(record));
}

void Leadership::write(LeadershipRecord record)
{
    m_busy = true;
    record.writer = m_self;
    record.write = ++m_write;
    const auto sentAt = m_hooks.now();
    const auto text = record.toJson();
    m_nextRenewal = sentAt + m_settings.renewPeriod;
    m_store.compareAndSwap(key(), m_version, text, Milliseconds(0), [this, record = std::move(record), sentAt](const Result<std::uint64_t> &result) {
        m_busy = false;
        finishWrite(record, sentAt, result);
    });
}

void Leadership::finishWrite(const LeadershipRecord &record, Timestamp sentAt, const Result<std::uint64_t> &result)
{
    if (result.has_value()) {
        becomeCurrent(record, result.value(), sentAt);
        return;
    }
    if (result.error().code == ResultCode::StoreUnavailable) {
        // Nothing was written. Retry a renewal soon, while the lease is still valid.
        m_nextRenewal = m_hooks.now() + std::min(m_settings.renewPeriod, Milliseconds(1000));
        return;
    }
    // Lost answer, or another version: an earlier write of this process may be the cause. The record tells.
    m_unresolvedSince = std::min(sentAt, m_unresolvedSince.value_or(sentAt));
    m_mustRead = true;
    read();
}

void Leadership::becomeCurrent(LeadershipRecord record, std::uint64_t version, Timestamp writtenAt)
{
    const bool wasHolder = isHolder() && m_record->epoch == record.epoch;
    m_unresolvedSince.reset();
    m_version = version;
    m_versionSeenAt = m_hooks.now();
    m_lastReadAt = m_versionSeenAt;
    m_record = std::move(record);
    if (m_record->holder.isEmpty()) {
        return;
    }
    m_leaseUntil = writtenAt + m_settings.lease - m_settings.margin;
    for (auto it = m_confirmed.begin(); it != m_confirmed.end();) {
        const auto &list = m_record->predecessors;
        const auto listed = [it](const DutyHolder &p) { return p.process.node == it->first && p.process.incarnation == it->second; };
        it = std::any_of(list.begin(), list.end(), listed) ? std::next(it) : m_confirmed.erase(it);
    }
    if (!wasHolder) {
        ++m_counts.takeovers;
        m_confirmed.clear();
        m_nextProbe = m_hooks.now();
        // Bytes of a predecessor that resigned or was confirmed by a successor that died since may still be on their way.
        m_waitUntil = m_record->epoch > 1 ? m_hooks.now() + m_settings.confirmationWait : m_hooks.now();
    }
}

void Leadership::probePredecessors()
{
    const auto now = m_hooks.now();
    if (now < m_nextProbe) {
        return;
    }
    m_nextProbe = now + m_settings.probePeriod;
    const auto predecessors = m_record->predecessors;
    for (const auto &predecessor : predecessors) {
        if (m_confirmed.count({predecessor.process.node, predecessor.process.incarnation}) > 0) {
            continue;
        }
        if (predecessor.process.sameLife(m_self)) {
            if (m_ledger.release(m_duty, predecessor.epoch)) {
                confirm(predecessor);
            }
        } else if (m_hooks.hostHasLeft(predecessor.process.address)) {
            ++m_counts.confirmedByAbsence;
            confirm(predecessor);
        } else {
            const ReleaseRequest request{m_duty, predecessor.process, predecessor.epoch};
            m_hooks.probe(request, [this, predecessor](const ProbeResult &result) { finishProbe(predecessor, result); });
        }
    }
}

void Leadership::finishProbe(const DutyHolder &predecessor, const ProbeResult &result)
{
    const auto &list = m_record->predecessors;
    // An answer to a probe of an earlier epoch says nothing about sends of a later one.
    if (result.kind == ProbeResult::Kind::Silent || !isHolder() || std::find(list.begin(), list.end(), predecessor) == list.end()) {
        return;
    }
    const bool otherLife = result.kind == ProbeResult::Kind::Refused || !result.answer.process.sameLife(predecessor.process);
    if (otherLife || result.answer.released) {
        ++m_counts.confirmedByAnswer;
        confirm(predecessor);
    }
}

void Leadership::confirm(const DutyHolder &predecessor)
{
    m_confirmed.emplace(predecessor.process.node, predecessor.process.incarnation);
    m_waitUntil = std::max(m_waitUntil, m_hooks.now() + m_settings.confirmationWait);
}

bool Leadership::isInCharge() const
{
    const auto now = m_hooks.now();
    return isHolder() && !m_resigning && m_record->predecessors.empty() && now < m_leaseUntil && now >= m_waitUntil
        && !m_ledger.isReleased(m_duty, m_record->epoch);
}

std::optional<std::uint64_t> Leadership::beginSend()
{
    if (!isHolder() || !m_ledger.beginSend(m_duty, m_record->epoch)) {
        return std::nullopt;
    }
    const auto epoch = m_record->epoch;
    if (!isInCharge()) {
        m_ledger.endSend(m_duty, epoch);
        return std::nullopt;
    }
    return epoch;
}

void Leadership::endSend(std::uint64_t epoch)
{
    m_ledger.endSend(m_duty, epoch);
}

void Leadership::resign()
{
    m_resigning = true;
    m_nextRenewal = std::min(m_nextRenewal, m_hooks.now());
}

bool Leadership::hasResigned() const
{
    return m_resigning && !m_busy && !m_mustRead && !isHolder();
}

}
