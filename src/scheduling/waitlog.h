#pragma once

#include "log/eventlog.h"
#include "scheduling/openbatch.h"
#include "scheduling/placement.h"

#include <cstddef>
#include <vector>

namespace Basilbend
{

/// Numbers of waiting and running items of a batch, and the time since the batch was opened.
struct WaitState {
    std::size_t waiting = 0;
    std::size_t running = 0;
    Milliseconds openDuration{0};
};

/// Logs that items of one batch wait for a slot, with the reasons why endpoints cannot take them, at most once per
/// LogInterval.
class WaitLog
{
public:
    static constexpr Milliseconds LogInterval{500};

    explicit WaitLog(EventLog &log);

    /// endpoints: their state after the assignments of this round so far.
    void logWaiting(const OpenBatch &batch, const WaitState &state, const std::vector<PlacementEndpoint> &endpoints, Timestamp now);

private:
    EventLog &m_log;
    Timestamp m_loggedAt;
};

}
