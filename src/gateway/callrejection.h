#pragma once

#include "base/result.h"

namespace Basilbend
{

/// How often a call was attempted at endpoints.
struct AttemptCounts {
    /// Attempts that have ended and may have run.
    int executed = 0;
    /// Attempts that have not ended.
    int inProgress = 0;
};

/// The response with which the gateway ends a live request itself. Status 503 says that the request did not run and never will.
struct CallRejection {
    int status;
    ResultCode code;
    const char *message;
    Milliseconds retryAfter;
};

/// Returns the rejection of a stream that can't be taken up now, or of which another attempt can't begin.
CallRejection rejectUnresumable(const AttemptCounts &attempts, const char *message);

}
