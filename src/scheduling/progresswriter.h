#pragma once

#include "base/eventloop.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"
#include "scheduling/openbatch.h"

#include <functional>
#include <memory>

namespace Basilbend
{

/// Writes from time to time what the long items of one batch have generated, so that a successor of this leader goes on
/// behind it instead of starting them again. A lost or old record costs only time.
class ProgressWriter : public std::enable_shared_from_this<ProgressWriter>
{
public:
    /// Term: the fencing token of the leadership; zero: nothing may be written.
    ProgressWriter(MetadataStore &store, EventLoop loop, EventLog &log, std::shared_ptr<OpenBatch> batch, std::function<std::uint64_t()> term);

    /// To be called from time to time.
    void poll();

    /// Batches younger than this have nothing worth writing.
    static constexpr Milliseconds FirstWrite{1500};
    static constexpr Milliseconds WriteInterval{1000};

private:
    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    std::shared_ptr<OpenBatch> m_batch;
    std::function<std::uint64_t()> m_term;
    Timestamp m_nextWrite;
    bool m_isWriting = false;
};

}
