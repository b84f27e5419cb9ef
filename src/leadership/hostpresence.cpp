#include "leadership/hostpresence.h"

#include <algorithm>

namespace Basilbend
{

HostPresence::HostPresence(std::string ownAddress, Milliseconds settlingTime)
    : m_ownAddress(std::move(ownAddress))
    , m_settlingTime(settlingTime)
{
}

void HostPresence::update(const std::vector<std::string> &addresses, Timestamp now)
{
    if (std::find(addresses.begin(), addresses.end(), m_ownAddress) == addresses.end()) {
        return;
    }
    // Without reads for half the settling time, absence was not observed: start over.
    if (!m_read || now - m_lastRead > m_settlingTime / 2) {
        m_firstRead = now;
        m_read = true;
    }
    m_lastRead = now;
    for (const auto &address : addresses) {
        m_lastSeen[address] = now;
    }
    for (auto it = m_lastSeen.begin(); it != m_lastSeen.end();) {
        it = now - it->second > m_settlingTime ? m_lastSeen.erase(it) : std::next(it);
    }
}

bool HostPresence::hasLeft(const std::string &address, Timestamp now) const
{
    if (!m_read || now - m_lastRead > m_settlingTime / 2) {
        return false;
    }
    const auto it = m_lastSeen.find(address);
    const auto missingSince = it == m_lastSeen.end() ? m_firstRead : std::max(it->second, m_firstRead);
    return m_lastRead - missingSince >= m_settlingTime;
}

}
