#include "usage/usagereporter.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

UsageReporter::UsageReporter(Leadership &leadership, OrderSender &sender, UsageKeys keys, Store &store, NowFunction now, Milliseconds retryPeriod)
    : m_leadership(leadership)
    , m_sender(sender)
    , m_keys(std::move(keys))
    , m_store(store)
    , m_now(std::move(now))
    , m_retryPeriod(retryPeriod)
{
}

void UsageReporter::tick()
{
    if (m_busy || m_now() < m_nextTry) {
        return;
    }
    if (!m_leadership.isInCharge()) {
        // Another process may report meanwhile; look up the position again.
        m_positioned = false;
        return;
    }
    if (!m_positioned) {
        readProgress();
    } else if (m_progressDue) {
        writeProgress();
    } else {
        readSealed();
    }
}

void UsageReporter::readProgress()
{
    m_busy = true;
    m_store.get(m_keys.progress(), [this](Result<std::optional<StoreEntry>> result) {
        m_busy = false;
        m_nextTry = m_now() + m_retryPeriod;
        if (result.has_error() || !result.value()) {
            return;
        }
        const auto progress = UsageProgress::fromJson(result.value()->value);
        if (!progress) {
            ++m_counts.unreadable;
            return;
        }
        m_progress = *progress;
        m_progressVersion = result.value()->version;
        m_next = progress->reportedBefore;
        m_progressDue = false;
        m_positioned = true;
        m_nextTry = m_now();
    });
}

void UsageReporter::readSealed()
{
    m_busy = true;
    m_store.get(m_keys.sealed(m_next), [this](Result<std::optional<StoreEntry>> result) {
        m_busy = false;
        m_nextTry = m_now() + m_retryPeriod;
        if (result.has_error() || !result.value()) {
            return;
        }
        const auto sealed = SealedWindow::fromJson(result.value()->value);
        if (!sealed) {
            ++m_counts.unreadable;
            return;
        }
        place(*sealed);
    });
}

void UsageReporter::place(const SealedWindow &sealed)
{
    const auto id = m_keys.reportId(sealed.window);
    const auto body = [&](std::uint64_t epoch) {
        return nlohmann::json{{"window", id}, {"sender", m_leadership.self().node}, {"epoch", epoch}, {"figures", sealed.reportFigures()}}.dump();
    };
    m_busy = true;
    if (!m_sender.place(id, body, [this](OrderEnd end, int status) { finish(end, status); })) {
        m_busy = false;
    }
}

void UsageReporter::finish(OrderEnd end, int status)
{
    constexpr int FirstSuccess = 200;
    constexpr int AfterSuccess = 300;
    m_busy = false;
    if (end == OrderEnd::DutyLost) {
        m_positioned = false;
        return;
    }
    if (status < FirstSuccess || status >= AfterSuccess) {
        ++m_counts.refused;
        m_nextTry = m_now() + m_retryPeriod;
        return;
    }
    ++m_counts.acknowledged;
    ++m_next;
    m_progressDue = true;
    m_nextTry = m_now();
}

void UsageReporter::writeProgress()
{
    m_busy = true;
    m_progress.reportedBefore = m_next;
    m_progress.writer = m_leadership.self();
    m_progress.write = ++m_write;
    m_store.compareAndSwap(m_keys.progress(), m_progressVersion, m_progress.toJson(), Milliseconds(0), [this](const Result<std::uint64_t> &result) {
        m_busy = false;
        m_nextTry = m_now();
        if (result.has_value()) {
            m_progressVersion = result.value();
            m_progressDue = false;
        } else if (result.error().code == ResultCode::StoreUnavailable) {
            m_nextTry = m_now() + m_retryPeriod;
        } else {
            // The write may have taken effect or another process wrote; the position in the store decides.
            m_positioned = false;
        }
    });
}

}
