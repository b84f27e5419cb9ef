#pragma once

#include "log/eventlog.h"
#include "scheduling/openbatch.h"
#include "scheduling/placement.h"

#include <cstddef>
#include <vector>

namespace Basilbend
{

/// How many items of a batch wait and run, and for how long the batch has been open.
struct WaitState {
    std::size_t waiting = 0;
    std::size_t running = 0;
    Milliseconds openFor{0};
};

/// Tells in the log that items of one batch wait for a place and what they lack, at most once in LogInterval.
class WaitLog
{
public:
    static constexpr Milliseconds LogInterval{500};

    explicit WaitLog(EventLog &log);

    /// Endpoints: as they were before this round of placement.
    void note(const OpenBatch &batch, const WaitState &state, const std::vector<PlacementEndpoint> &endpoints, Timestamp now);

private:
    EventLog &m_log;
    Timestamp m_loggedAt;
};

}
