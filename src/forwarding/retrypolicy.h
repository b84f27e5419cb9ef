#pragma once

#include "http/clientcall.h"

namespace Basilbend
{

/// How one try of a live request at an endpoint ended.
enum class ForwardOutcome {
    /// A whole answer with the endpoint's signature.
    FinalResponse,
    /// A whole answer of the endpoint that tells a failure, for example 500.
    ServerError,
    /// Proven not to have run: refused by the endpoint, or nothing was sent.
    NotRun,
    /// Nothing proves that it did not run.
    MayHaveRun,
};

/// What is known of a live request when a try has ended.
struct RetryState {
    /// Another endpoint may run the request although one may have begun it.
    bool isRepeatable = false;
    int maxAttempts = 1;
    /// Tries that ran or may have run, this one included.
    int executedAttempts = 0;
    /// Tries that are still under way.
    int attemptsInProgress = 0;
    bool hasTimeLeft = true;
};

enum class RetryDecision {
    /// Give the endpoint's answer to the client.
    ForwardResponse,
    /// Try another endpoint.
    Retry,
    /// Another try is under way; its end decides.
    AwaitOtherAttempt,
    /// Answer 503: the request has not run and never will.
    RejectNotRun,
    /// Answer 502: nothing is promised.
    FailExecutionUnknown,
};

/// Decides what follows the end of a try. A refusal "not run" is only given when no try may have run.
RetryDecision decideRetry(ForwardOutcome outcome, const RetryState &state);

/// What the response to a try proves. Complete: the end of the call; notExecuted and isSigned: from the response's head.
ForwardOutcome classifyResponse(CallEnd end, int status, bool notExecuted, bool isSigned);

}
