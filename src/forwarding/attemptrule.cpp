#include "forwarding/attemptrule.h"

namespace Basilbend
{

TryOutcome outcomeOfTry(CallOutcome end, int status, bool notExecuted, bool isSigned)
{
    if (end == CallOutcome::NotConnected) {
        return TryOutcome::NotRun;
    }
    if (end != CallOutcome::Complete) {
        return TryOutcome::MayHaveRun;
    }
    if (notExecuted) {
        return TryOutcome::NotRun;
    }
    const bool isSuccess = status >= 200 && status < 300;
    if (isSuccess) {
        // A success without the signature is not the endpoint's answer.
        return isSigned ? TryOutcome::Answered : TryOutcome::MayHaveRun;
    }
    return status >= 500 ? TryOutcome::AnsweredFailure : TryOutcome::Answered;
}

TryDecision decideAfterTry(TryOutcome outcome, const TryHistory &history)
{
    if (outcome == TryOutcome::Answered) {
        return TryDecision::PassAnswer;
    }
    if (history.open > 0) {
        return TryDecision::WaitForOther;
    }
    const bool nothingRan = outcome == TryOutcome::NotRun && history.ran == 0;
    const bool mayRepeat = history.mayRunAgain && history.ran < history.attemptsAllowed;
    if (history.timeLeft && (nothingRan || mayRepeat)) {
        return TryDecision::TryAgain;
    }
    if (outcome == TryOutcome::AnsweredFailure) {
        return TryDecision::PassAnswer;
    }
    return history.ran == 0 ? TryDecision::RefuseNotRun : TryDecision::FailUnknown;
}

}
