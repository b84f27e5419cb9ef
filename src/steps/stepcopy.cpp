#include "steps/stepcopy.h"

namespace Basilbend
{

StepCopy::StepCopy(Step step)
    : m_step(std::move(step))
{
}

const Step &StepCopy::step() const
{
    return m_step;
}

bool StepCopy::apply(std::uint64_t number, const std::vector<SamplePlacement> &changes)
{
    if (number <= m_number) {
        return true;
    }
    if (number != m_number + 1) {
        return false;
    }
    m_number = number;
    merge(changes);
    return true;
}

void StepCopy::replace(std::uint64_t number, const std::vector<SamplePlacement> &placements)
{
    if (number < m_number) {
        return;
    }
    m_number = number;
    m_placements.clear();
    merge(placements);
}

std::uint64_t StepCopy::number() const
{
    return m_number;
}

std::vector<SamplePlacement> StepCopy::placements() const
{
    std::vector<SamplePlacement> all;
    all.reserve(m_placements.size());
    for (const auto &[index, attempts] : m_placements) {
        all.push_back({index, attempts});
    }
    return all;
}

void StepCopy::merge(const std::vector<SamplePlacement> &changes)
{
    for (const auto &change : changes) {
        if (change.attempts.empty()) {
            m_placements.erase(change.index);
        } else if (change.index < m_step.sampleCount()) {
            m_placements[change.index] = change.attempts;
        }
    }
}

}
