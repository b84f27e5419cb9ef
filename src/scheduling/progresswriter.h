#pragma once

#include "base/eventloop.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"
#include "scheduling/openbatch.h"

#include <functional>
#include <memory>

namespace Basilbend
{

/// Periodically stores the texts generated for the long items of one batch, so that a successor of this leader continues
/// them instead of starting again. A lost or outdated record costs only time.
class ProgressWriter : public std::enable_shared_from_this<ProgressWriter>
{
public:
    /// term: the fencing token of the leadership; nothing is written while it is zero.
    ProgressWriter(MetadataStore &store, EventLoop loop, EventLog &log, std::shared_ptr<OpenBatch> batch, std::function<std::uint64_t()> term);

    /// Writes the progress if it is due. Must be called regularly.
    void poll();

    /// Delay before the first write; younger batches have nothing worth storing.
    static constexpr Milliseconds FirstWriteDelay{1500};
    static constexpr Milliseconds WriteInterval{1000};

private:
    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    std::shared_ptr<OpenBatch> m_batch;
    std::function<std::uint64_t()> m_term;
    Timestamp m_nextWriteAt;
    bool m_isWriting = false;
};

}
