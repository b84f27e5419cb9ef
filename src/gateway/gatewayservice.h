#pragma once

#include "forwarding/admission.h"
#include "gateway/batchapi.h"
#include "gateway/gatewaycontext.h"
#include "http/webserver.h"

#include <memory>
#include <string>

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

    /// Reports the process as not ready from now on. Requests are still served.
    void beginDrain();

    bool isDraining() const
    {
        return m_draining;
    }

    ServerLimits limits() const;

    void setFreshness(FreshnessRule freshness);

private:
    bool isFresh() const;
    void submit(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, Timestamp waitDeadline);
    void handleBatchCall(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request);
    void reject(ServerExchange &exchange, const ClientRequest &request, const Error &error);

    GatewayContext &m_context;
    FreshnessRule m_freshness;
    BatchApi m_batchApi;
    bool m_draining = false;
};

}
