#include "metadata/relayrule.h"

namespace Basilbend
{

bool RelayRule::noteDirect(bool isAnswered)
{
    if (isAnswered) {
        m_failures = 0;
        return false;
    }
    return ++m_failures == FailuresOfOutage;
}

}
