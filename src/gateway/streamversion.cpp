#include "gateway/streamversion.h"

namespace Basilbend
{

StreamVersion::StreamVersion(GatewayContext &context, const RouteRule &route, const ClientRequest &request, const std::string &workspace)
    : m_context(context)
    , m_isResumable(route.kind == RouteKind::Streaming && route.canResume)
    , m_workspace(workspace)
    , m_attemptId(request.attemptId)
{
    if (request.lastEventId > 0) {
        m_resumedAttempt = request.resumedAttemptId;
    }
}

bool StreamVersion::mustFind() const
{
    return m_isResumable && m_resumedAttempt && !m_version;
}

void StreamVersion::find(const std::function<void(bool)> &callback)
{
    m_context.origins.find(m_service, *m_resumedAttempt, m_workspace, [this, callback](const StreamOrigin &origin) {
        m_version = origin.version;
        callback(m_version.has_value());
    });
}

bool StreamVersion::mustPrepare(const EndpointRecord &endpoint) const
{
    return m_isResumable && m_prepared != endpoint.softwareVersion;
}

void StreamVersion::prepare(const EndpointRecord &endpoint, const std::function<void(OriginRecording)> &callback)
{
    // An earlier record of this attempt would name another version.
    const bool isForced = m_prepared.has_value();
    const auto version = endpoint.softwareVersion;
    m_context.origins.record({m_service, m_attemptId, m_workspace, version}, isForced, [this, version, callback](OriginRecording recording) {
        if (recording == OriginRecording::Recorded) {
            m_recorded = version;
        }
        if (recording == OriginRecording::Recorded || recording == OriginRecording::NotNeeded) {
            m_prepared = version;
        }
        callback(recording);
    });
}

bool StreamVersion::mayBeginUnrecorded(const EndpointRecord &endpoint) const
{
    // A record of another version would be found.
    return !m_recorded && m_context.origins.mayBeginUnrecorded(m_service, endpoint.softwareVersion);
}

bool StreamVersion::restrictToRecorded()
{
    if (m_version) {
        return false;
    }
    m_version = m_recorded ? m_recorded : m_context.origins.servingBase(m_service);
    return m_version.has_value();
}

void StreamVersion::fix(const EndpointRecord &endpoint)
{
    if (!m_isResumable) {
        return;
    }
    m_version = endpoint.softwareVersion;
    if (!m_recorded && !m_isKeptUnrecorded) {
        m_isKeptUnrecorded = true;
        m_context.origins.keepUnrecorded({m_service, m_attemptId, m_workspace, endpoint.softwareVersion});
    }
}

void StreamVersion::end()
{
    if (m_isKeptUnrecorded) {
        m_context.origins.forgetUnrecorded(m_attemptId);
    }
}

std::vector<const EndpointRecord *> StreamVersion::allowed(const std::vector<const EndpointRecord *> &endpoints) const
{
    return m_version ? endpointsOfVersion(endpoints, *m_version) : endpoints;
}

}
