#include "metadata/relayrule.h"

namespace Basilbend
{

bool RelayRule::recordDirectResult(bool isAnswered)
{
    if (isAnswered) {
        m_failures = 0;
        return false;
    }
    return ++m_failures == OutageFailureThreshold;
}

}
