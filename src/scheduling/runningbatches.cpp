#include "scheduling/runningbatches.h"

#include <algorithm>
#include <utility>

namespace Basilbend
{

RunningBatch *RunningBatches::find(const std::string &id)
{
    const auto it = m_batches.find(id);
    return it == m_batches.end() ? nullptr : it->second.get();
}

void RunningBatches::add(const std::string &id, std::unique_ptr<RunningBatch> batch)
{
    m_batches[id] = std::move(batch);
}

std::unique_ptr<RunningBatch> RunningBatches::take(const std::string &id)
{
    auto node = m_batches.extract(id);
    return node.empty() ? nullptr : std::move(node.mapped());
}

void RunningBatches::clear()
{
    m_batches.clear();
}

std::size_t RunningBatches::openRunCount() const
{
    std::size_t n = 0;
    for (const auto &[id, batch] : m_batches) {
        n += batch->openRuns.size();
    }
    return n;
}

std::size_t RunningBatches::textBytes() const
{
    std::size_t n = 0;
    for (const auto &[id, batch] : m_batches) {
        n += batch->state->textBytes();
    }
    return n;
}

bool RunningBatches::hasWaitingItems() const
{
    return std::any_of(m_batches.begin(), m_batches.end(), [](const auto &entry) { return entry.second->lastWaitingCount > 0; });
}

std::vector<RunningBatch *> RunningBatches::byAge() const
{
    std::vector<RunningBatch *> batches;
    for (const auto &[id, batch] : m_batches) {
        batches.push_back(batch.get());
    }
    std::sort(batches.begin(), batches.end(), [](const RunningBatch *a, const RunningBatch *b) {
        return a->state->index().submittedAtMs < b->state->index().submittedAtMs;
    });
    return batches;
}

}
