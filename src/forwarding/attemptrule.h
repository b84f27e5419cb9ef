#pragma once

#include "http/clientcall.h"

namespace Basilbend
{

/// How one try of a live request at an endpoint ended.
enum class TryOutcome {
    /// A whole answer with the endpoint's signature.
    Answered,
    /// A whole answer of the endpoint that tells a failure, for example 500.
    AnsweredFailure,
    /// Proven not to have run: refused by the endpoint, or nothing was sent.
    NotRun,
    /// Nothing proves that it did not run.
    MayHaveRun,
};

/// What is known of a live request when a try has ended.
struct TryHistory {
    /// Another endpoint may run the request although one may have begun it.
    bool mayRunAgain = false;
    int attemptsAllowed = 1;
    /// Tries that ran or may have run, this one included.
    int ran = 0;
    /// Tries that are still under way.
    int open = 0;
    bool timeLeft = true;
};

enum class TryDecision {
    /// Give the endpoint's answer to the client.
    PassAnswer,
    /// Try another endpoint.
    TryAgain,
    /// Another try is under way; its end decides.
    WaitForOther,
    /// Answer 503: the request has not run and never will.
    RefuseNotRun,
    /// Answer 502: nothing is promised.
    FailUnknown,
};

/// Decides what follows the end of a try. A refusal "not run" is only given when no try may have run.
TryDecision decideAfterTry(TryOutcome outcome, const TryHistory &history);

/// What the response to a try proves. Complete: the end of the call; notExecuted and isSigned: from the response's head.
TryOutcome outcomeOfTry(CallOutcome end, int status, bool notExecuted, bool isSigned);

}
