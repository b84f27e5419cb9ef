#pragma once

#include "forwarding/admission.h"
#include "gateway/batchapi.h"
#include "gateway/gatewaycontext.h"
#include "http/webserver.h"

#include <memory>
#include <string>

namespace Basilbend
{

/// Serves the clients of one gateway: finds the route, checks the key, and hands the request to its call.
class GatewayService
{
public:
    GatewayService(GatewayContext &context, FreshnessRule freshness);

    /// Takes a request of a client.
    void handle(const std::shared_ptr<ServerExchange> &exchange);

    /// Answers the platform's question whether new connections may come.
    ResponseMessage readiness() const;

    bool isReady() const;

    /// From now on the process is not ready; requests are still served.
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
