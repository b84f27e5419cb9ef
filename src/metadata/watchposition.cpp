#include "metadata/watchposition.h"

#include <algorithm>

namespace Basilbend
{

void WatchPosition::reset(std::uint64_t revision)
{
    m_heard = revision;
    m_confirmed = revision;
    m_mayHaveGap = false;
    m_unconfirmedRevision.reset();
}

void WatchPosition::acceptChanges(std::uint64_t revision, bool hasWaited)
{
    m_heard = std::max(m_heard, revision);
    m_mayHaveGap = m_mayHaveGap || hasWaited;
    m_confirmed = m_mayHaveGap ? m_confirmed : m_heard;
    m_unconfirmedRevision.reset();
}

void WatchPosition::acceptEmpty(std::uint64_t revision, Timestamp sentAt, Timestamp now)
{
    // A watch that starts after the store's watches work again reports at once what earlier ones missed. Only such a watch,
    // when it finds no change, confirms the revision of an earlier empty answer.
    if (m_unconfirmedRevision && sentAt - m_unconfirmedRevision->reportedAt < MaxWatchGap) {
        return;
    }
    if (m_unconfirmedRevision) {
        m_heard = std::max(m_heard, m_unconfirmedRevision->revision);
        m_confirmed = m_mayHaveGap ? m_confirmed : m_heard;
    }
    m_unconfirmedRevision = UnconfirmedRevision{revision, now};
}

void WatchPosition::acceptCheck(std::uint64_t revision)
{
    m_confirmed = std::max(m_confirmed, revision);
    m_heard = std::max(m_heard, revision);
    m_mayHaveGap = m_heard > m_confirmed;
}

void WatchPosition::acceptPeer(std::uint64_t peerHeard, std::uint64_t peerConfirmed)
{
    m_heard = std::max(m_heard, peerHeard);
    m_confirmed = m_mayHaveGap ? m_confirmed : std::max(m_confirmed, std::min(m_heard, peerConfirmed));
    m_unconfirmedRevision.reset();
}

void WatchPosition::returnToConfirmed()
{
    m_heard = m_confirmed;
    m_mayHaveGap = false;
    m_unconfirmedRevision.reset();
}

}
