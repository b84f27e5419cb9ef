#pragma once

#include <string_view>

namespace Basilbend
{

/// How far an attempt got on a sidecar.
enum class ExecutionState {
    /// Waits in the sidecar; nothing was written to the endpoint.
    Received,
    /// Marked before the first byte is written to the endpoint.
    Started,
    /// The endpoint's answer ended, whether well or badly.
    Finished,
    /// Turned away before it started.
    Refused,
    /// Revoked before it started; also stands for an attempt that has not arrived yet.
    Revoked,
};

/// What a sidecar says to a revocation.
enum class RevocationAnswer {
    /// The attempt has not started and never will.
    NeverStarted,
    Running,
    Finished,
    /// The sidecar can't vouch for the attempt: another incarnation received it, or its record is past its lifetime.
    UnknownIncarnation,
};

/// "never_started", "running", "finished" or "unknown_incarnation".
std::string_view revocationAnswerName(RevocationAnswer answer);

/// Reads a name as written by revocationAnswerName(); any other text gives UnknownIncarnation, which promises nothing.
RevocationAnswer revocationAnswerFromName(std::string_view name);

}
