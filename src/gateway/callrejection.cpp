#include "gateway/callrejection.h"

namespace Basilbend
{

namespace
{

/// Retry-After of a stream that can't be taken up now: an endpoint of its software version may register again.
constexpr Milliseconds UnresumableRetryAfter{500};

}

CallRejection rejectUnresumable(const AttemptCounts &attempts, const char *message)
{
    if (attempts.executed == 0) {
        return {503, ResultCode::StreamNotResumable, message, UnresumableRetryAfter};
    }
    return {502, ResultCode::EndpointFailed, message, Milliseconds(0)};
}

}
