#pragma once

#include "base/timestamp.h"
#include "batches/batch.h"
#include "weights/modelworkload.h"

#include <map>
#include <string>

namespace Basilbend
{

/// Estimates from recent batches the load that the steps of each model put on its endpoints.
class BatchDemand
{
public:
    /// Records the work of a batch that has been opened.
    void recordBatch(const BatchSubmission &submission);

    /// Records that items of a batch wait for a slot. age: the time since the batch was opened.
    void recordWaiting(const std::string &model, Milliseconds age, Timestamp now);

    /// Records the duration of a closed batch. age: the time since its submission; deadline: the time after submission at
    /// which its results were due, zero if there is none.
    void recordDuration(const std::string &model, Milliseconds age, Milliseconds deadline, Timestamp now);

    /// Demand and tightness of each model that has had a batch.
    std::map<std::string, ModelWorkload> loads(Timestamp now) const;

    /// Items that wait for a slot for this long show that a step has too few slots.
    static constexpr Milliseconds TightWaitTime{250};
    /// Time for which a model counts as tight after its last shortage.
    static constexpr Milliseconds TightDuration{20000};

private:
    std::map<std::string, double> m_averageWork;
    std::map<std::string, Timestamp> m_tightAt;
};

}
