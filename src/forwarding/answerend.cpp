#include "forwarding/answerend.h"

namespace Basilbend
{

AnswerEnd judgeAnswerEnd(CallOutcome outcome, bool isInsideEvent, bool notExecuted)
{
    if (notExecuted) {
        return AnswerEnd::Final;
    }
    if (outcome == CallOutcome::Interrupted) {
        return AnswerEnd::Truncated;
    }
    if (outcome != CallOutcome::Unframed) {
        return AnswerEnd::Final;
    }
    return isInsideEvent ? AnswerEnd::Truncated : AnswerEnd::Unconfirmed;
}

bool isSameStart(const EndpointIdentity &identity, const EndpointRecord &endpoint)
{
    if (identity.isOther) {
        return false;
    }
    const bool isOtherId = !identity.id.empty() && identity.id != endpoint.id;
    const bool isOtherStart = identity.startedAtMs > 0 && endpoint.startedAtMs > 0 && identity.startedAtMs != endpoint.startedAtMs;
    return !isOtherId && !isOtherStart;
}

}
