#pragma once

#include "gateway/gatewaycontext.h"
#include "gateway/leaderresults.h"
#include "gateway/resultcache.h"
#include "http/serverexchange.h"
#include "platform/clientrequest.h"

#include <memory>
#include <string>

namespace Basilbend
{

/// The batch calls of clients: submit, read results, read an item's body, end. The caller has checked the key.
class BatchApi
{
public:
    explicit BatchApi(GatewayContext &context);

    void submit(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, const RouteRule &route, const std::string &workspace);
    void readResults(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, const std::string &workspace);
    void readItem(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, const std::string &workspace);
    void end(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, const std::string &workspace);

private:
    /// A call that reads the index of its batch and is repeated until its time is over.
    struct IndexedCall {
        std::shared_ptr<ServerExchange> exchange;
        ClientRequest request;
        std::string workspace;
        Timestamp givesUpAt;
    };

    using IndexStep = std::function<void(const BatchIndex &, std::uint64_t revision)>;

    void readFromStore(const IndexedCall &call, Milliseconds wait);
    void answerRead(const IndexedCall &call, const ResultPage &page);
    void withIndex(const IndexedCall &call, const IndexStep &step);
    void endIndexed(const IndexedCall &call);
    void commitEnd(const IndexedCall &call, const BatchIndex &index, std::uint64_t revision);
    void readSubmission(const IndexedCall &call, const std::string &afterKey, std::shared_ptr<std::string> body);
    void answerItem(const IndexedCall &call, const std::string &submission);
    void retry(const IndexedCall &call, MetadataStatus status, const std::function<void()> &step);
    void reject(const IndexedCall &call, int status, ResultCode code, const std::string &message, Milliseconds retryAfter);

    GatewayContext &m_context;
    ResultCache m_results;
    LeaderResults m_leader;
};

}
