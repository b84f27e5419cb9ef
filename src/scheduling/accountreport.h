#pragma once

#include "log/eventlog.h"
#include "net/metrics.h"
#include "scheduling/batchaccount.h"
#include "scheduling/openbatch.h"

namespace Basilbend
{

/// Reports where the time of steps went: one log line for each batch, and counters by model and activity.
class AccountReport
{
public:
    AccountReport(EventLog &log, Metrics &metrics);

    /// The trainer has all groups that it waits for. last: the item that was listed last; its activities are what the step waited for.
    /// due: time after the submission at which the results were due; zero if there is none.
    void reportReady(const OpenBatch &batch, const BatchAccount &account, std::size_t last, Milliseconds due, Timestamp now);

    /// The batch has ended without the groups that the trainer waits for.
    void reportUnfinished(const OpenBatch &batch, const BatchAccount &account, Milliseconds due, Timestamp now);

private:
    EventLog &m_log;
    Metrics &m_metrics;
};

}
