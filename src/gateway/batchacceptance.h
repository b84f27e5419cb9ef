#pragma once

#include "batches/batchrecords.h"
#include "gateway/gatewaycontext.h"
#include "http/serverexchange.h"
#include "platform/clientrequest.h"

#include <memory>
#include <string>

namespace Basilbend
{

/// Writes one submitted batch to the metadata store and answers the client: 202 once it is kept, 503 when it is certain
/// that nothing was written, 500 when it is not. The write is conditional on the batch's id, so that a batch is accepted
/// once, however often and wherever it is submitted.
class BatchAcceptance : public std::enable_shared_from_this<BatchAcceptance>
{
public:
    BatchAcceptance(GatewayContext &context, std::shared_ptr<ServerExchange> exchange, ClientRequest request, BatchIndex index, Milliseconds storeTimeout);

    void start();

private:
    void commit();
    void handleReply(const MetadataReply &reply);
    void handleConflict(const MetadataReply &reply);
    void retryOrGiveUp(MetadataStatus status);
    void respondAccepted(const char *how);
    void respondError(int status, ResultCode code, const std::string &message);

    GatewayContext &m_context;
    std::shared_ptr<ServerExchange> m_exchange;
    ClientRequest m_request;
    BatchIndex m_index;
    Timestamp m_arrivedAt;
    Timestamp m_storeDeadline;
    int m_failedCommits = 0;
    /// A write got no answer, so the batch may be there already or may still come.
    bool m_mayBeWritten = false;
};

}
