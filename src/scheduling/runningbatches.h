#pragma once

#include "scheduling/runningbatch.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// The open batches of a runner, by id.
class RunningBatches
{
public:
    /// Returns null if the batch is not open.
    RunningBatch *find(const std::string &id);

    void add(const std::string &id, std::unique_ptr<RunningBatch> batch);

    /// Removes a batch and returns it; null if it is not open.
    std::unique_ptr<RunningBatch> take(const std::string &id);

    void clear();

    std::size_t size() const
    {
        return m_batches.size();
    }

    std::size_t openRunCount() const;

    /// Size of the texts of all batches.
    std::size_t textBytes() const;

    /// Whether an item of any batch waited for a slot after the last round.
    bool hasWaitingItems() const;

    /// All batches in the order of their submission.
    std::vector<RunningBatch *> byAge() const;

private:
    std::map<std::string, std::unique_ptr<RunningBatch>> m_batches;
};

}
