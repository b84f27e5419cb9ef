#include "metadata/relayrule.h"

namespace Basilbend
{

bool RelayRule::takesPeer(bool isWatch, Timestamp now)
{
    if (m_failures < FailuresOfOutage) {
        return false;
    }
    if (!isWatch && now - m_lastProbe >= ProbeInterval) {
        m_lastProbe = now;
        return false;
    }
    return true;
}

void RelayRule::noteDirect(MetadataStatus status, Timestamp now)
{
    const bool isFailure = status == MetadataStatus::Refused || status == MetadataStatus::Unknown;
    if (!isFailure) {
        m_failures = 0;
        return;
    }
    if (++m_failures == FailuresOfOutage) {
        m_lastProbe = now;
    }
}

bool RelayRule::mayRepeat(MetadataStatus status, bool isIdempotent)
{
    return status == MetadataStatus::Refused || (status == MetadataStatus::Unknown && isIdempotent);
}

}
