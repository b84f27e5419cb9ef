#pragma once

#include "batches/batchrecords.h"
#include "gateway/gatewaycontext.h"
#include "http/serverexchange.h"
#include "platform/clientrequest.h"

#include <memory>
#include <string>

namespace Basilbend
{

/// Writes one submitted batch to the metadata store and responds to the client: 202 once the batch is stored, 503 if nothing was
/// written, 500 if it is unknown whether the batch was written. The write requires that the batch's id does not exist yet, so a
/// batch is accepted once, regardless of how often and at which gateways it is submitted.
class BatchAcceptance : public std::enable_shared_from_this<BatchAcceptance>
{
public:
    /// memory: the share of the batch, which is kept until the batch is written or given up.
    BatchAcceptance(GatewayContext &context,
                    std::shared_ptr<ServerExchange> exchange,
                    ClientRequest request,
                    BatchIndex index,
                    SubmissionBudget::Reservation memory,
                    Milliseconds storeTimeout);

    void start();

private:
    void commit();
    void handleReply(const MetadataReply &reply);
    void handleConflict(const MetadataReply &reply);
    void retryOrGiveUp(MetadataStatus status);
    void respondAccepted(const char *outcome);
    void respondError(int status, ResultCode code, const std::string &message);

    GatewayContext &m_context;
    std::shared_ptr<ServerExchange> m_exchange;
    ClientRequest m_request;
    BatchIndex m_index;
    SubmissionBudget::Reservation m_memory;
    Timestamp m_arrivedAt;
    Timestamp m_storeDeadline;
    int m_failedCommits = 0;
    /// A write was not acknowledged, so the batch may have been written or may still be written.
    bool m_mayBeWritten = false;
};

}
