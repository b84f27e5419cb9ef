#include "attempts/executionstate.h"

namespace Basilbend
{

std::string_view revocationAnswerName(RevocationAnswer answer)
{
    switch (answer) {
    case RevocationAnswer::NeverStarted:
        return "never_started";
    case RevocationAnswer::Running:
        return "running";
    case RevocationAnswer::Finished:
        return "finished";
    case RevocationAnswer::UnknownIncarnation:
        break;
    }
    return "unknown_incarnation";
}

RevocationAnswer revocationAnswerFromName(std::string_view name)
{
    for (const auto answer : {RevocationAnswer::NeverStarted, RevocationAnswer::Running, RevocationAnswer::Finished}) {
        if (name == revocationAnswerName(answer)) {
            return answer;
        }
    }
    return RevocationAnswer::UnknownIncarnation;
}

}
