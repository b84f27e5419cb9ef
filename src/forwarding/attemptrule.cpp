#include "forwarding/attemptrule.h"

namespace Basilbend
{

namespace
{

/// Whether clients read the status as a promise that the request has not run and will not run.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}

ForwardOutcome classifyResponse(CallOutcome callOutcome, int status, bool notExecuted, bool isSigned)
{
    if (callOutcome == CallOutcome::NotConnected) {
        return ForwardOutcome::NotRun;
    }
    if (hasUsableHead(callOutcome) && notExecuted) {
        return ForwardOutcome::NotRun;
    }
    if (callOutcome != CallOutcome::Complete) {
        return ForwardOutcome::MayHaveRun;
    }
    const bool isSuccess = status >= 200 && status < 300;
    if (isSuccess) {
        // A success status without the endpoint's signature was not sent by the endpoint.
        return isSigned ? ForwardOutcome::FinalResponse : ForwardOutcome::MayHaveRun;
    }
    if (promisesNotRun(status)) {
        // Only a response that also says so means it; passed on, it would promise what the endpoint did not.
        return ForwardOutcome::MayHaveRun;
    }
    return status >= 500 ? ForwardOutcome::ServerError : ForwardOutcome::FinalResponse;
}

RetryDecision decideRetry(ForwardOutcome outcome, const RetryState &state)
{
    if (outcome == ForwardOutcome::FinalResponse) {
        return RetryDecision::ForwardResponse;
    }
    if (state.attemptsInProgress > 0) {
        return RetryDecision::AwaitOtherAttempt;
    }
    const bool nothingRan = outcome == ForwardOutcome::NotRun && state.executedAttempts == 0;
    const bool mayRepeat = state.isRepeatable && state.executedAttempts < state.maxAttempts;
    if (state.hasTimeLeft && (nothingRan || mayRepeat)) {
        return RetryDecision::Retry;
    }
    if (outcome == ForwardOutcome::ServerError) {
        return RetryDecision::ForwardResponse;
    }
    return state.executedAttempts == 0 ? RetryDecision::RejectNotRun : RetryDecision::FailExecutionUnknown;
}

}
