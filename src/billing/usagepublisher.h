#pragma once

#include "base/eventloop.h"
#include "billing/usagecounter.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"

#include <deque>
#include <string>

namespace Basilbend
{

/// Writes what this process counted to the metadata store, one key a window. A write is repeated until it is known to be
/// there; nothing else writes its key, so a repeat changes nothing.
class UsagePublisher
{
public:
    /// Writer: unique for each life of a process.
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
