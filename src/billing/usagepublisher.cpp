#include "billing/usagepublisher.h"

#include "billing/usagerecords.h"

namespace Basilbend
{

namespace
{

constexpr Milliseconds RetryPause{250};
/// Maximum number of windows queued for the store; older ones could no longer be reported in time.
constexpr std::size_t MaxQueuedWindows = 64;

}

UsagePublisher::UsagePublisher(MetadataStore &store, EventLoop loop, EventLog &log, std::string writer)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_log(log)
    , m_writer(std::move(writer))
{
}

void UsagePublisher::publish(ClosedWindow window)
{
    if (m_queue.size() >= MaxQueuedWindows) {
        m_log.warning("usage_dropped", {{"window", m_queue.front().window}});
        m_queue.pop_front();
    }
    m_queue.push_back(std::move(window));
    if (!m_isWriting) {
        writeNext();
    }
}

void UsagePublisher::writeNext()
{
    if (m_queue.empty()) {
        m_isWriting = false;
        return;
    }
    m_isWriting = true;
    const auto &next = m_queue.front();
    // The sequence number gives separate keys to two parts of one window, which result when the process is stopped during
    // the window.
    const auto key = UsageRecords::countKey(next.window, m_writer + "." + std::to_string(m_lastSequenceNumber + 1));
    const MetadataChange change{{{key, 0}}, {{key, UsageRecords::encodeCounts(next.counts), 0}}, {}};
    m_store.commit(change, [this, window = next.window](const MetadataReply &reply) {
        // A conflict shows that an earlier attempt was executed.
        const bool isWritten = reply.status == MetadataStatus::Done || reply.status == MetadataStatus::Conflict;
        if (!isWritten) {
            m_log.warning("usage_not_written", {{"window", window}, {"store", metadataStatusName(reply.status)}});
            m_loop.runAfter(RetryPause, [this] { writeNext(); });
            return;
        }
        m_log.info("usage_written", {{"window", window}});
        ++m_lastSequenceNumber;
        m_queue.pop_front();
        writeNext();
    });
}

}
