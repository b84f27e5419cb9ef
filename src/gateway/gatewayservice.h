#pragma once

#include "forwarding/admission.h"
#include "gateway/batchapi.h"
#include "gateway/gatewaycontext.h"
#include "gateway/livecall.h"
#include "http/webserver.h"

#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// Entry point of client requests at a gateway: finds the route, authenticates the request and dispatches it to a LiveCall or to
/// the BatchApi.
class GatewayService
{
public:
    GatewayService(GatewayContext &context, FreshnessRule freshness);

    void handle(const std::shared_ptr<ServerExchange> &exchange);

    /// Response to the platform's readiness probe: 200 if the gateway accepts new connections, otherwise 503.
    ResponseMessage readiness() const;

    bool isReady() const;

    /// Reports the process as not ready from now on. Requests are still served, but one that arrives lateAfter or later only if its time
    /// limit ends before the given end.
    void beginDrain(Timestamp lateAfter, Timestamp end);

    /// Gives every open live request its final response: its client would otherwise see a closed connection when the process ends.
    void endOpenCalls();

    bool isDraining() const
    {
        return m_draining;
    }

    ServerLimits limits() const;

    void setFreshness(FreshnessRule freshness);

private:
    bool isFresh() const;
    ConfigurationTrust configurationTrust() const;
    void submit(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, Timestamp waitDeadline);
    void startLiveCall(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, const RouteRule &route, const std::string &workspace);
    void handleBatchCall(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request);
    /// Rejects a request that holds a text which can't be a part of keys or messages.
    void rejectMalformed(ServerExchange &exchange, const std::string &reason);
    void reject(ServerExchange &exchange, const ClientRequest &request, const Error &error);

    GatewayContext &m_context;
    FreshnessRule m_freshness;
    BatchApi m_batchApi;
    bool m_draining = false;
    Timestamp m_lateAfter;
    Timestamp m_drainEnd;
    /// Calls that may be open; those that have ended are removed from time to time.
    std::vector<std::weak_ptr<LiveCall>> m_calls;
    std::size_t m_callsBeforeCleanUp = MinCallsBeforeCleanUp;

    static constexpr std::size_t MinCallsBeforeCleanUp = 256;
};

}
