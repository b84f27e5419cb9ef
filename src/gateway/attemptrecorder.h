#pragma once

#include "forwarding/attemptrule.h"
#include "gateway/gatewaycontext.h"
#include "gateway/liveattempt.h"

#include <string>

namespace Basilbend
{

/// Records what the attempts of one live request show about their endpoints: load, limits, latency, failures, and that they leave.
class AttemptRecorder
{
public:
    /// requestId: the client's attempt id, for log lines.
    AttemptRecorder(GatewayContext &context, std::string requestId);

    /// Records the fields of the head of a response.
    void recordHead(const LiveAttempt &attempt);

    void recordOutcome(const LiveAttempt &attempt, CallOutcome end, ForwardOutcome outcome);

private:
    void recordRate(const LiveAttempt &attempt);
    void logFailure(const LiveAttempt &attempt, CallOutcome end);

    GatewayContext &m_context;
    std::string m_requestId;
};

}
