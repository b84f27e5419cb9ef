#pragma once

#include "base/eventloop.h"
#include "billing/usagecounter.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"

#include <deque>
#include <string>

namespace Basilbend
{

/// Writes the usage counts of this process to the metadata store, one key per window. A write is retried until it is known
/// to be stored; no other process writes the key, so a retry changes nothing.
class UsagePublisher
{
public:
    /// writer must be unique for each start of a process.
    UsagePublisher(MetadataStore &store, EventLoop loop, EventLog &log, std::string writer);

    void publish(ClosedWindow window);

    bool isIdle() const
    {
        return m_queue.empty();
    }

private:
    void writeNext();

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    std::string m_writer;
    std::deque<ClosedWindow> m_queue;
    bool m_isWriting = false;
    std::uint64_t m_lastSequenceNumber = 0;
};

}
