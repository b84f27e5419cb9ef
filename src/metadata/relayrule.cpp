#include "metadata/relayrule.h"

namespace Basilbend
{

bool RelayRule::noteDirect(MetadataStatus status)
{
    const bool isFailure = status == MetadataStatus::Refused || status == MetadataStatus::Unknown;
    if (!isFailure) {
        m_failures = 0;
        return false;
    }
    return ++m_failures == FailuresOfOutage;
}

bool RelayRule::mayRepeat(MetadataStatus status, bool isIdempotent)
{
    return status == MetadataStatus::Refused || (status == MetadataStatus::Unknown && isIdempotent);
}

}
