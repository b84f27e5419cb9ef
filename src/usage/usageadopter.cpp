#include "usage/usageadopter.h"

#include <algorithm>

namespace Basilbend
{

UsageAdopter::UsageAdopter(ProcessIdentity self, UsageAdopterSettings settings, Store &store, NowFunction now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_store(store)
    , m_now(std::move(now))
{
}

SequenceSet UsageAdopter::receive(const std::string &entry, std::uint64_t incarnation, std::uint64_t hint, const std::vector<UsageRecord> &records)
{
    SequenceSet covered;
    auto [it, isNew] = m_logs.try_emplace(Name(entry, incarnation));
    auto &log = it->second;
    if (isNew) {
        // The batch before the hint tells what is covered up to there.
        log.hint = hint;
        log.next = hint > 0 ? hint - 1 : 0;
    }
    log.lastAsked = m_now();
    for (const auto &record : records) {
        const auto n = record.attempt.sequence;
        if (log.covered.contains(n)) {
            covered.insert(n);
        } else if (log.waiting.size() < m_settings.maxRecords) {
            log.waiting.emplace(n, record);
        }
    }
    return covered;
}

void UsageAdopter::tick()
{
    const auto now = m_now();
    for (auto it = m_logs.begin(); it != m_logs.end();) {
        auto &log = it->second;
        if (!log.busy && log.frozenText.empty() && now - log.lastAsked > m_settings.idleSpan) {
            it = m_logs.erase(it);
            continue;
        }
        if (!log.busy && now >= log.nextTry) {
            advance(it->first, log);
        }
        ++it;
    }
}

std::string UsageAdopter::key(const Name &name, const Log &log) const
{
    return UsageKeys{usageShard(name.first, m_settings.shards)}.batch(name.first, name.second, log.next);
}

void UsageAdopter::advance(const Name &name, Log &log)
{
    if (!log.frozenText.empty()) {
        write(name, log);
        return;
    }
    if (!log.atEnd) {
        readNext(name, log);
        return;
    }
    for (auto it = log.waiting.begin(); it != log.waiting.end();) {
        if (log.covered.contains(it->first)) {
            ++m_counts.alreadyCovered;
            it = log.waiting.erase(it);
        } else {
            ++it;
        }
    }
    if (log.waiting.empty()) {
        return;
    }
    UsageBatch batch;
    batch.entry = name.first;
    batch.incarnation = name.second;
    batch.number = log.next;
    batch.writer = m_self;
    batch.write = ++m_write;
    batch.covered = log.covered;
    for (const auto &[n, record] : log.waiting) {
        batch.covered.insert(n);
        batch.figures.add(record);
        batch.records.push_back(record);
    }
    log.frozen = batch.records;
    log.frozenText = batch.toJson();
    log.waiting.clear();
    write(name, log);
}

void UsageAdopter::readNext(const Name &name, Log &log)
{
    log.busy = true;
    m_store.get(key(name, log), [this, name](Result<std::optional<StoreEntry>> result) {
        auto &current = m_logs.at(name);
        current.busy = false;
        if (result.has_error()) {
            current.nextTry = m_now() + m_settings.retryPeriod;
        } else if (result.value()) {
            pass(current, *result.value());
            advance(name, current);
        } else if (current.next + 1 == current.hint) {
            // The batch before the hint has left the store after its retention; the log goes on behind it.
            ++current.next;
            advance(name, current);
        } else {
            current.atEnd = true;
            advance(name, current);
        }
    });
}

void UsageAdopter::pass(Log &log, const StoreEntry &entry)
{
    ++log.next;
    log.atEnd = false;
    if (const auto batch = UsageBatch::fromJson(entry.value)) {
        log.covered.insert(batch->covered);
    }
}

void UsageAdopter::write(const Name &name, Log &log)
{
    log.busy = true;
    createOnce(m_store, key(name, log), log.frozenText, m_settings.retention, [this, name](const CreateOutcome &outcome) {
        auto &current = m_logs.at(name);
        current.busy = false;
        finish(current, outcome);
    });
}

void UsageAdopter::finish(Log &log, const CreateOutcome &outcome)
{
    log.nextTry = m_now() + m_settings.retryPeriod;
    if (outcome.state == CreateOutcome::State::Unknown) {
        log.outcomeUnknown = true;
        return;
    }
    if (outcome.state == CreateOutcome::State::NotWritten && log.outcomeUnknown) {
        return;
    }
    if (outcome.state == CreateOutcome::State::Created) {
        ++m_counts.batches;
        m_counts.records += log.frozen.size();
        for (const auto &record : log.frozen) {
            log.covered.insert(record.attempt.sequence);
        }
        ++log.next;
    } else {
        for (auto &record : log.frozen) {
            log.waiting.emplace(record.attempt.sequence, std::move(record));
        }
        if (outcome.state == CreateOutcome::State::Taken) {
            pass(log, *outcome.entry);
        }
    }
    log.frozen.clear();
    log.frozenText.clear();
    log.outcomeUnknown = false;
}

}
