#include "attempts/attemptoutcome.h"

namespace Basilbend
{

AttemptOutcome::AttemptOutcome(std::uint64_t sidecarIncarnation, bool idempotent)
    : m_sidecarIncarnation(sidecarIncarnation)
    , m_idempotent(idempotent)
{
}

void AttemptOutcome::markDispatched()
{
    m_dispatched = true;
}

void AttemptOutcome::noteConnectFailure(bool ownConnection)
{
    m_provedNotRun = m_provedNotRun || ownConnection;
}

void AttemptOutcome::noteAccepted(std::uint64_t sidecarIncarnation)
{
    // It waits in the sidecar and may start at any moment: no evidence either way. A failed connection can't have come first.
    m_provedNotRun = m_provedNotRun && !isAddressed(sidecarIncarnation);
}

void AttemptOutcome::noteStarted(std::uint64_t sidecarIncarnation)
{
    m_provedRan = m_provedRan || isAddressed(sidecarIncarnation);
}

void AttemptOutcome::noteFinished(std::uint64_t sidecarIncarnation)
{
    if (isAddressed(sidecarIncarnation)) {
        m_provedRan = true;
        m_finished = true;
    }
}

void AttemptOutcome::noteRefused(std::uint64_t sidecarIncarnation, Execution stated)
{
    if (!isAddressed(sidecarIncarnation)) {
        return;
    }
    m_provedRan = m_provedRan || stated == Execution::Ran;
    m_provedNotRun = m_provedNotRun || stated == Execution::NotRun;
}

void AttemptOutcome::noteRevocation(std::uint64_t sidecarIncarnation, RevocationAnswer answer)
{
    if (!isAddressed(sidecarIncarnation)) {
        return;
    }
    m_provedRan = m_provedRan || answer == RevocationAnswer::Running || answer == RevocationAnswer::Finished;
    m_provedNotRun = m_provedNotRun || answer == RevocationAnswer::NeverStarted;
}

Execution AttemptOutcome::execution() const
{
    if (m_provedRan) {
        return Execution::Ran;
    }
    return !m_dispatched || m_provedNotRun ? Execution::NotRun : Execution::Unknown;
}

bool AttemptOutcome::isFinished() const
{
    return m_finished;
}

bool AttemptOutcome::mayRetry() const
{
    return !m_finished && (m_idempotent || execution() == Execution::NotRun);
}

bool AttemptOutcome::isAddressed(std::uint64_t sidecarIncarnation) const
{
    return sidecarIncarnation == m_sidecarIncarnation;
}

}
