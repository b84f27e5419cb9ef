#pragma once

#include "gateway/gatewaycontext.h"
#include "gateway/leaderresultreader.h"
#include "gateway/resultcache.h"
#include "http/serverexchange.h"
#include "platform/clientrequest.h"

#include <memory>
#include <string>

namespace Basilbend
{

/// Handles the batch requests of clients: submit, read results, read an item's body, end. The caller has authenticated the
/// request.
class BatchApi
{
public:
    explicit BatchApi(GatewayContext &context);

    void submit(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, const RouteRule &route, const std::string &workspace);
    void readResults(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, const std::string &workspace);
    void readItem(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, const std::string &workspace);
    void endBatch(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, const std::string &workspace);

private:
    /// A client's batch request. Store operations of the request are retried until retryUntil.
    struct BatchCall {
        std::shared_ptr<ServerExchange> exchange;
        ClientRequest request;
        std::string workspace;
        Timestamp retryUntil;
    };

    using IndexHandler = std::function<void(const BatchIndex &, std::uint64_t revision)>;

    void rejectSubmission(ServerExchange &exchange, const ClientRequest &request, const Error &error);
    void readFromStore(const BatchCall &call, Milliseconds wait);
    void respondWithResults(const BatchCall &call, const ResultPage &page);
    void loadIndex(const BatchCall &call, const IndexHandler &handler);
    void endOrRetry(const BatchCall &call);
    void commitEnd(const BatchCall &call, const BatchIndex &index, std::uint64_t revision);
    void readSubmission(const BatchCall &call, const std::string &afterKey, std::shared_ptr<std::string> body);
    void respondWithItem(const BatchCall &call, const std::string &submission);
    void retry(const BatchCall &call, MetadataStatus status, const std::function<void()> &operation);
    void reject(const BatchCall &call, int status, ResultCode code, const std::string &message, Milliseconds retryAfter);

    GatewayContext &m_context;
    ResultCache m_resultCache;
    LeaderResultReader m_leaderReader;
};

}
