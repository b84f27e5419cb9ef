#pragma once

#include "scheduling/batchaccount.h"
#include "scheduling/endpointhealth.h"
#include "scheduling/itemrun.h"
#include "scheduling/openbatch.h"
#include "scheduling/placement.h"
#include "scheduling/progresswriter.h"
#include "scheduling/resultwriter.h"
#include "scheduling/runmoves.h"
#include "scheduling/runtracker.h"
#include "scheduling/waitlog.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// A run of one item in progress.
struct OpenRun {
    std::unique_ptr<ItemRun> itemRun;
    std::string endpoint;
    Timestamp lastEventAt;
    bool hasEvent = false;
    /// Number of the run, as in ItemProgress::runNumber.
    std::uint64_t number = 0;
};

/// An open batch with its runs and the writers of its results and progress.
struct RunningBatch {
    explicit RunningBatch(EventLog &log)
        : waitLog(log)
    {
    }

    /// Items that may start now, most urgent first, at most MaxItemsPerRound.
    std::vector<PlacementItem> waitingItems(const RunTracker &tracker, Timestamp now) const;

    /// Runs that have lasted long enough to be moved. medianIntervalMs: the median time between two events of a run, in ms.
    std::vector<MovableRun> movableRuns(const RunTracker &tracker, const EndpointHealth &health, double medianIntervalMs, Timestamp now) const;

    std::shared_ptr<OpenBatch> state;
    std::shared_ptr<ResultWriter> writer;
    std::shared_ptr<ProgressWriter> progressWriter;
    std::map<std::size_t, OpenRun> openRuns;
    Timestamp openedAt;
    BatchAccount account;
    /// Whether the account has been reported.
    bool isAccountReported = false;
    /// Number of items that waited for a slot after the last round.
    std::size_t lastWaitingCount = 0;
    WaitLog waitLog;

    /// Maximum number of waiting items considered in one round of placement.
    static constexpr std::size_t MaxItemsPerRound = 512;
};

}
