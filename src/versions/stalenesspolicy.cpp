#include "versions/stalenesspolicy.h"

#include <algorithm>

namespace Basilbend
{

StalenessPolicy::StalenessPolicy(std::uint64_t bound)
    : m_bound(bound)
{
}

bool StalenessPolicy::published(std::uint64_t version, Timestamp now)
{
    if (version <= m_lastPublished) {
        return false;
    }
    if (m_lastPublishedAt) {
        m_interval = (now - *m_lastPublishedAt) / static_cast<std::int64_t>(version - m_lastPublished);
    }
    m_lastPublished = version;
    m_lastPublishedAt = now;
    const bool newer = version > m_newest;
    m_newest = std::max(m_newest, version);
    return newer;
}

void StalenessPolicy::trainerAt(std::uint64_t version)
{
    m_newest = std::max(m_newest, version);
}

std::uint64_t StalenessPolicy::newest() const
{
    return m_newest;
}

std::uint64_t StalenessPolicy::minimumVersion() const
{
    return m_newest > m_bound ? m_newest - m_bound : 0;
}

bool StalenessPolicy::isValid(std::uint64_t oldest) const
{
    return oldest >= minimumVersion();
}

bool StalenessPolicy::canFinish(std::uint64_t oldest, Milliseconds remaining, Timestamp now) const
{
    if (!isValid(oldest)) {
        return false;
    }
    if (!m_lastPublishedAt || m_interval.count() == 0) {
        return true;
    }
    const auto publicationsLeft = static_cast<std::int64_t>(std::min<std::uint64_t>(oldest + m_bound - m_newest, 1U << 20U));
    const auto breaksAt = *m_lastPublishedAt + m_interval * (publicationsLeft + 1);
    // A publication that is overdue has no known time, and stopping work for it would be a guess.
    return breaksAt <= now || remaining <= breaksAt - now;
}

}
