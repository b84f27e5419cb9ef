#include "scheduling/batchdemand.h"

#include "scheduling/grouporder.h"

#include <cmath>

namespace Basilbend
{

namespace
{

/// Weight of the newest batch in the moving average of its model's work.
constexpr double SmoothingFactor = 0.3;

}

void BatchDemand::recordBatch(const BatchSubmission &submission)
{
    double tokens = 0;
    for (const auto &item : submission.items) {
        tokens += static_cast<double>(expectedOutput(item));
    }
    // A step needs one slot per item at its start, and later only as many as its tokens keep busy.
    const double newest = std::sqrt(tokens * static_cast<double>(submission.items.size()));
    auto &work = m_averageWork[submission.model];
    work = work == 0 ? newest : (1 - SmoothingFactor) * work + SmoothingFactor * newest;
}

void BatchDemand::recordWaiting(const std::string &model, Milliseconds age, Timestamp now)
{
    if (age >= TightWaitTime) {
        m_tightAt[model] = now;
    }
}

void BatchDemand::recordDuration(const std::string &model, Milliseconds age, Milliseconds deadline, Timestamp now)
{
    if (deadline.count() > 0 && age * 2 > deadline) {
        m_tightAt[model] = now;
    }
}

std::map<std::string, ModelWorkload> BatchDemand::loads(Timestamp now) const
{
    std::map<std::string, ModelWorkload> loads;
    for (const auto &[model, work] : m_averageWork) {
        const auto tight = m_tightAt.find(model);
        loads[model].demand = work;
        loads[model].isShortOfSlots = tight != m_tightAt.end() && now - tight->second < TightDuration;
    }
    return loads;
}

}
