#pragma once

#include "http/clientcall.h"

namespace Basilbend
{

/// Outcome of one attempt to run a live request at an endpoint.
enum class ForwardOutcome {
    /// A complete response for the client: a success signed by the endpoint, or a status that is no success and below 500.
    FinalResponse,
    /// A complete response with status 500 or above.
    ServerError,
    /// The request did not run: the endpoint rejected it, or nothing was sent.
    NotRun,
    /// The request may have run: nothing proves the contrary.
    MayHaveRun,
};

/// State of a live request at the end of one of its attempts.
struct RetryState {
    /// The request may run at another endpoint after one endpoint may have started it.
    bool isRepeatable = false;
    int maxAttempts = 1;
    /// Attempts that ran or may have run, including the one that has just ended.
    int executedAttempts = 0;
    int attemptsInProgress = 0;
    bool hasTimeLeft = true;
};

enum class RetryDecision {
    /// Forward the endpoint's response to the client.
    ForwardResponse,
    /// Start an attempt at another endpoint.
    Retry,
    /// Wait for another attempt that is in progress.
    AwaitOtherAttempt,
    /// Respond with 503: the request has not run and will not run.
    RejectNotRun,
    /// Respond with 502: whether the request ran is unknown.
    FailExecutionUnknown,
};

/// Decides what to do after an attempt has ended. Returns RejectNotRun only if no attempt may have run.
RetryDecision decideRetry(ForwardOutcome outcome, const RetryState &state);

/// Derives the outcome of an attempt. The status and the flags notExecuted and isSigned come from the head of the response. They
/// count only if the call ended with CallOutcome::Complete; notExecuted counts whenever the head can be used, since it needs no body.
ForwardOutcome classifyResponse(CallOutcome callOutcome, int status, bool notExecuted, bool isSigned);

}
