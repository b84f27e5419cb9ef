#pragma once

#include "catalog/endpointrecord.h"
#include "catalog/serviceconfiguration.h"
#include "gateway/gatewaycontext.h"
#include "platform/clientrequest.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// Keeps one resumable stream to endpoints of one software version, within a response and over the attempts of its client.
class StreamVersion
{
public:
    /// Requests of routes without resumable streams are not restricted.
    StreamVersion(GatewayContext &context, const RouteRule &route, const ClientRequest &request, const std::string &workspace);

    void setService(const std::string &service)
    {
        m_service = service;
    }

    /// Whether the client takes a stream up whose version is not known yet.
    bool mustFind() const;

    /// Finds the version of the stream that the client takes up. The callback receives whether it is known.
    void find(const std::function<void(bool)> &callback);

    /// Whether the version of the endpoint must be prepared before the request is sent there.
    bool mustPrepare(const EndpointRecord &endpoint) const;

    /// Records the version of the endpoint as that of the stream, if that is needed. See StreamOrigins::record().
    void prepare(const EndpointRecord &endpoint, const std::function<void(OriginRecording)> &callback);

    /// Whether the stream may begin at the endpoint although the metadata store has refused its record.
    bool mayBeginUnrecorded(const EndpointRecord &endpoint) const;

    /// Restricts the stream to the version at which it is found again without another record: that of an earlier record of this
    /// attempt, or the base version. Returns false if there is none.
    bool restrictToRecorded();

    /// Records that an event of the endpoint is part of the stream.
    void fix(const EndpointRecord &endpoint);

    /// Records that the stream has ended.
    void end();

    /// Whether the stream may run at one version only.
    bool isFixed() const
    {
        return m_version.has_value();
    }

    /// Returns the endpoints that may run the stream.
    std::vector<const EndpointRecord *> allowed(const std::vector<const EndpointRecord *> &endpoints) const;

private:
    GatewayContext &m_context;
    bool m_isResumable;
    std::string m_service;
    std::string m_workspace;
    std::string m_attemptId;
    /// The attempt that brought the first event; set if the client takes a stream up.
    std::optional<std::string> m_resumedAttempt;
    std::optional<std::string> m_version;
    /// Version that was prepared last.
    std::optional<std::string> m_prepared;
    /// Version that the record of this attempt names, if one is stored.
    std::optional<std::string> m_recorded;
    bool m_isKeptUnrecorded = false;
};

}
