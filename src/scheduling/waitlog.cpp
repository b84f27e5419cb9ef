#include "scheduling/waitlog.h"

namespace Basilbend
{

WaitLog::WaitLog(EventLog &log)
    : m_log(log)
{
}

void WaitLog::logWaiting(const OpenBatch &batch, const WaitState &state, const std::vector<PlacementEndpoint> &endpoints, Timestamp now)
{
    if (now - m_loggedAt < LogInterval) {
        return;
    }
    m_loggedAt = now;
    const auto minimum = batch.submission().minimumVersion;
    const auto obstacles = countObstacles(endpoints, minimum);
    m_log.info("items_waiting",
               {{"batch", batch.index().id},
                {"model", batch.submission().model},
                {"minimum_version", minimum},
                {"waiting", state.waiting},
                {"running", state.running},
                {"since_ms", state.openDuration},
                {"endpoints", obstacles.eligible},
                {"outdated", obstacles.outdated},
                {"full", obstacles.full},
                {"limited", obstacles.limited},
                {"slow", obstacles.slow}});
}

}
