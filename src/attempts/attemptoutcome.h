#pragma once

#include "attempts/executionstate.h"
#include "base/resultcode.h"

#include <cstdint>

namespace Basilbend
{

/// What an entry can prove about one attempt. It says "not run" or "ran" only from evidence of the sidecar incarnation
/// that the attempt was addressed to; once ran is proved, nothing later takes it back.
class AttemptOutcome
{
public:
    AttemptOutcome(std::uint64_t sidecarIncarnation, bool idempotent);

    /// To be called before the first byte is handed to the network; until then the attempt is not run.
    void markDispatched();

    /// The connection could not be opened. It proves "not run" only on a connection of the attempt's own: an HTTP client
    /// may have sent the request over a pooled connection before it tried a new one.
    void noteConnectFailure(bool ownConnection);

    /// A line accepted from the sidecar: it waits there.
    void noteAccepted(std::uint64_t sidecarIncarnation);

    /// The sidecar says that the attempt was started, or sent a part of an answer.
    void noteStarted(std::uint64_t sidecarIncarnation);

    void noteFinished(std::uint64_t sidecarIncarnation);

    /// The sidecar refused it and stated whether it ran.
    void noteRefused(std::uint64_t sidecarIncarnation, Execution stated);

    void noteRevocation(std::uint64_t sidecarIncarnation, RevocationAnswer answer);

    Execution execution() const;
    bool isFinished() const;

    /// True when the request may be tried again: not finished, and idempotent or proved not to have run.
    bool mayRetry() const;

private:
    bool isAddressed(std::uint64_t sidecarIncarnation) const;

    std::uint64_t m_sidecarIncarnation;
    bool m_idempotent;
    bool m_dispatched = false;
    bool m_provedNotRun = false;
    bool m_provedRan = false;
    bool m_finished = false;
};

}
