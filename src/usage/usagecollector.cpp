#include "usage/usagecollector.h"

namespace Basilbend
{

UsageCollector::UsageCollector(ProcessIdentity self, UsageCollectorSettings settings, UsageKeys keys, Store &store, NowFunction now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_keys(std::move(keys))
    , m_store(store)
    , m_now(std::move(now))
{
    // Entries that start together write at different times.
    m_nextWrite = m_now() + Milliseconds(m_self.incarnation % static_cast<std::uint64_t>(m_settings.batchPeriod.count()));
}

void UsageCollector::add(const UsageRecord &record)
{
    const auto n = record.attempt.sequence;
    if (record.attempt.entry != m_self.node || record.attempt.incarnation != m_self.incarnation) {
        return;
    }
    if (m_durable.contains(n) || m_frozen.sequences.contains(n) || !m_open.sequences.insert(n)) {
        ++m_counts.duplicates;
        return;
    }
    ++m_counts.records;
    m_open.figures.add(record);
}

void UsageCollector::settle(std::uint64_t sequence)
{
    if (!m_durable.contains(sequence) && !m_frozen.sequences.contains(sequence)) {
        m_open.sequences.insert(sequence);
    }
}

void UsageCollector::flush()
{
    m_nextWrite = std::min(m_nextWrite, m_now());
}

bool UsageCollector::isFlushed() const
{
    return m_frozen.sequences.isEmpty() && m_open.sequences.isEmpty();
}

void UsageCollector::tick()
{
    if (m_busy || m_now() < m_nextWrite) {
        return;
    }
    if (m_frozenText.empty()) {
        if (m_open.sequences.isEmpty()) {
            return;
        }
        freeze();
    }
    write();
}

void UsageCollector::freeze()
{
    m_frozen = std::exchange(m_open, Part());
    UsageBatch batch;
    batch.entry = m_self.node;
    batch.incarnation = m_self.incarnation;
    batch.number = m_number;
    batch.writer = m_self;
    batch.write = ++m_write;
    batch.covered = m_durable;
    batch.covered.insert(m_frozen.sequences);
    batch.figures = m_frozen.figures;
    m_frozenText = batch.toJson();
}

void UsageCollector::reopen()
{
    m_open.figures.add(m_frozen.figures);
    m_open.sequences.insert(m_frozen.sequences);
    m_frozen = Part();
    m_frozenText.clear();
    m_outcomeUnknown = false;
}

void UsageCollector::write()
{
    m_busy = true;
    m_nextWrite = m_now() + m_settings.batchPeriod;
    createOnce(m_store, m_keys.batch(m_self.node, m_self.incarnation, m_number), m_frozenText, m_settings.retention, [this](const CreateOutcome &outcome) {
        m_busy = false;
        finish(outcome);
    });
}

void UsageCollector::finish(const CreateOutcome &outcome)
{
    switch (outcome.state) {
    case CreateOutcome::State::Created:
        ++m_counts.batches;
        m_durable.insert(m_frozen.sequences);
        m_frozen = Part();
        m_frozenText.clear();
        m_outcomeUnknown = false;
        ++m_number;
        return;
    case CreateOutcome::State::Taken:
        yieldTo(*outcome.entry);
        return;
    case CreateOutcome::State::NotWritten:
        // Nothing of this batch is in the store unless an earlier attempt may still take effect.
        if (!m_outcomeUnknown) {
            reopen();
        }
        break;
    case CreateOutcome::State::Unknown:
        m_outcomeUnknown = true;
        break;
    }
    m_nextWrite = m_now() + m_settings.retryPeriod;
}

void UsageCollector::yieldTo(const StoreEntry &entry)
{
    ++m_counts.takenByOthers;
    m_nextWrite = m_now() + m_settings.retryPeriod;
    reopen();
    ++m_number;
    const auto batch = UsageBatch::fromJson(entry.value);
    if (!batch) {
        ++m_counts.unreadableBatches;
        return;
    }
    for (const auto &record : batch->records) {
        if (m_open.sequences.contains(record.attempt.sequence)) {
            m_open.sequences.erase(record.attempt.sequence);
            m_open.figures.subtract(record);
        }
    }
    m_durable.insert(batch->covered);
}

}
