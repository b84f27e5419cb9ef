#include "steps/lengthestimator.h"

namespace Basilbend
{

LengthEstimator::LengthEstimator(std::size_t maxPrompts)
    : m_maxPrompts(maxPrompts)
{
}

void LengthEstimator::learn(std::uint64_t promptKey, std::uint64_t tokens)
{
    const auto length = static_cast<double>(tokens);
    m_mean = m_means.empty() ? length : m_mean + NewWeight * (length - m_mean);
    const auto [it, isNew] = m_means.emplace(promptKey, length);
    if (!isNew) {
        it->second += NewWeight * (length - it->second);
        return;
    }
    m_age.push_back(promptKey);
    if (m_age.size() > m_maxPrompts) {
        m_means.erase(m_age.front());
        m_age.pop_front();
    }
}

double LengthEstimator::expected(std::uint64_t promptKey, double unknownLength) const
{
    const auto it = m_means.find(promptKey);
    if (it != m_means.end()) {
        return it->second;
    }
    return m_means.empty() ? unknownLength : m_mean;
}

}
