#include "usage/usagesealer.h"

#include <algorithm>

namespace Basilbend
{

UsageSealer::UsageSealer(Leadership &leadership, UsageSealerSettings settings, UsageKeys keys, Store &store, NowFunction now)
    : m_leadership(leadership)
    , m_settings(settings)
    , m_keys(std::move(keys))
    , m_store(store)
    , m_now(std::move(now))
{
}

void UsageSealer::tick()
{
    const auto now = m_now();
    if (m_busy || now < m_nextTry || !m_leadership.isInCharge()) {
        return;
    }
    if (!m_positioned) {
        readProgress();
    } else if (!m_text.empty()) {
        create();
    } else if (!m_atEnd) {
        readSealed(m_next);
    } else {
        const Timestamp end(static_cast<std::int64_t>(m_next + 1) * m_settings.windowLength.count());
        if (now >= end + m_settings.grace && now >= m_lastFailure + m_settings.grace) {
            listBatches();
        }
    }
}

void UsageSealer::fail()
{
    m_lastFailure = m_now();
    m_nextTry = m_lastFailure + m_settings.retryPeriod;
}

void UsageSealer::readProgress()
{
    m_busy = true;
    m_store.get(m_keys.progress(), [this](Result<std::optional<StoreEntry>> result) {
        m_busy = false;
        if (result.has_error()) {
            fail();
            return;
        }
        if (!result.value()) {
            startChain();
            return;
        }
        const auto progress = UsageProgress::fromJson(result.value()->value);
        if (!progress) {
            ++m_counts.unreadable;
            fail();
            return;
        }
        m_next = progress->reportedBefore;
        m_positioned = true;
        if (m_next > progress->firstWindow) {
            // Its sealed window tells what the next one begins with.
            --m_next;
        }
    });
}

void UsageSealer::startChain()
{
    if (m_progressText.empty()) {
        UsageProgress progress;
        progress.firstWindow = usageWindow(m_now(), m_settings.windowLength);
        progress.reportedBefore = progress.firstWindow;
        progress.writer = m_leadership.self();
        progress.write = ++m_write;
        m_progressText = progress.toJson();
    }
    m_busy = true;
    createOnce(m_store, m_keys.progress(), m_progressText, Milliseconds(0), [this](const CreateOutcome &outcome) {
        m_busy = false;
        if (outcome.state == CreateOutcome::State::NotWritten) {
            fail();
        }
        // Whatever is in the store now is read at the next tick.
    });
}

void UsageSealer::readSealed(std::uint64_t window)
{
    m_busy = true;
    m_store.get(m_keys.sealed(window), [this](Result<std::optional<StoreEntry>> result) {
        m_busy = false;
        if (result.has_error()) {
            fail();
        } else if (result.value()) {
            pass(*result.value());
        } else {
            m_atEnd = true;
        }
    });
}

void UsageSealer::pass(const StoreEntry &entry)
{
    const auto sealed = SealedWindow::fromJson(entry.value);
    if (!sealed || sealed->window != m_next) {
        // Going on without it could bill usage twice; an operator has to look.
        ++m_counts.unreadable;
        fail();
        return;
    }
    m_includedVersion = sealed->includedVersion;
    m_carried = sealed->carried;
    ++m_next;
    m_atEnd = false;
}

void UsageSealer::listBatches()
{
    m_busy = true;
    m_store.list(m_keys.batchPrefix(), m_includedVersion, [this](Result<std::vector<StoreEntry>> result) {
        m_busy = false;
        if (result.has_error()) {
            fail();
            return;
        }
        seal(result.value());
    });
}

void UsageSealer::seal(const std::vector<StoreEntry> &entries)
{
    SealedWindow sealed;
    sealed.window = m_next;
    sealed.includedVersion = m_includedVersion;
    sealed.figures = m_carried;
    for (const auto &entry : entries) {
        sealed.includedVersion = std::max(sealed.includedVersion, entry.version);
        const auto batch = UsageBatch::fromJson(entry.value);
        if (!batch) {
            ++m_counts.unreadable;
            continue;
        }
        sealed.figures.add(batch->figures);
        auto &last = sealed.includedBatches[batch->entry + "/" + std::to_string(batch->incarnation)];
        last = std::max(last, batch->number);
    }
    sealed.carried = sealed.figures.takeAfter(m_next);
    sealed.sealer = m_leadership.self();
    sealed.write = ++m_write;
    m_text = sealed.toJson();
    create();
}

void UsageSealer::create()
{
    m_busy = true;
    createOnce(m_store, m_keys.sealed(m_next), m_text, Milliseconds(0), [this](const CreateOutcome &outcome) {
        m_busy = false;
        finish(outcome);
    });
}

void UsageSealer::finish(const CreateOutcome &outcome)
{
    switch (outcome.state) {
    case CreateOutcome::State::Created:
        ++m_counts.sealed;
        break;
    case CreateOutcome::State::Taken:
        ++m_counts.sealedByOthers;
        break;
    case CreateOutcome::State::NotWritten:
    case CreateOutcome::State::Unknown:
        fail();
        return;
    }
    m_text.clear();
    pass(*outcome.entry);
}

}
