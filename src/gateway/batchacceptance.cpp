#include "gateway/batchacceptance.h"

#include "gateway/rejection.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr Milliseconds InitialRetryDelay{30};
constexpr Milliseconds MaxRetryDelay{300};
/// Retry-After of a rejected submission: an outage of the metadata store lasts seconds.
constexpr Milliseconds ResubmitRetryAfter{800};

}

BatchAcceptance::BatchAcceptance(GatewayContext &context,
                                 std::shared_ptr<ServerExchange> exchange,
                                 ClientRequest request,
                                 BatchIndex index,
                                 SubmissionBudget::Reservation memory,
                                 Milliseconds storeTimeout)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_index(std::move(index))
    , m_memory(std::move(memory))
    , m_arrivedAt(context.loop.now())
    , m_storeDeadline(m_arrivedAt + storeTimeout)
{
}

void BatchAcceptance::start()
{
    commit();
}

void BatchAcceptance::commit()
{
    auto parts = BatchRecords::splitSubmission(m_exchange->request().body, BatchRecords::SubmissionPartBytes);
    m_index.parts = parts.size();
    m_index.bytes = m_exchange->request().body.size();
    MetadataChange change;
    change.preconditions.push_back({BatchRecords::indexKey(m_index.id), 0});
    change.writes.push_back({BatchRecords::indexKey(m_index.id), BatchRecords::encodeIndex(m_index), 0});
    for (std::size_t part = 0; part < parts.size(); ++part) {
        change.writes.push_back({BatchRecords::submissionKey(m_index.id, part), std::move(parts[part]), 0});
    }
    m_context.store.commit(change, [self = shared_from_this()](const MetadataReply &reply) { self->handleReply(reply); });
}

void BatchAcceptance::handleReply(const MetadataReply &reply)
{
    switch (reply.status) {
    case MetadataStatus::Done:
        respondAccepted("written");
        break;
    case MetadataStatus::Conflict:
        handleConflict(reply);
        break;
    case MetadataStatus::Unknown:
        m_mayBeWritten = true;
        retryOrGiveUp(reply.status);
        break;
    default:
        retryOrGiveUp(reply.status);
        break;
    }
}

void BatchAcceptance::handleConflict(const MetadataReply &reply)
{
    const auto key = BatchRecords::indexKey(m_index.id);
    const auto it = std::find_if(reply.items.begin(), reply.items.end(), [&key](const MetadataItem &item) { return item.key == key && item.revision > 0; });
    if (it == reply.items.end()) {
        retryOrGiveUp(reply.status);
        return;
    }
    const auto existing = BatchRecords::decodeIndex(it->value);
    if (!existing || existing.value().workspace != m_index.workspace) {
        respondError(409, ResultCode::RevisionConflict, "the batch id is in use");
        return;
    }
    respondAccepted("known");
}

void BatchAcceptance::retryOrGiveUp(MetadataStatus status)
{
    ++m_failedCommits;
    const auto now = m_context.loop.now();
    const bool canRetry = m_exchange->isOpen() && now < m_storeDeadline;
    if (canRetry) {
        const auto delay = std::min(MaxRetryDelay, InitialRetryDelay * m_failedCommits);
        m_context.loop.runAfter(delay, [self = shared_from_this()] { self->commit(); });
        return;
    }
    m_context.log.warning("batch_not_written", {{"batch", m_index.id}, {"store", metadataStatusName(status)}, {"tries", m_failedCommits}});
    if (m_mayBeWritten) {
        respondError(500, ResultCode::StoreAnswerLost, "the metadata store did not confirm the batch; submit it again");
    } else {
        respondError(503, ResultCode::StoreUnavailable, "the metadata store does not answer; nothing was accepted");
    }
}

void BatchAcceptance::respondAccepted(const char *outcome)
{
    const auto took = m_context.loop.now() - m_arrivedAt;
    m_context.metrics.count("basilbend_batches_accepted_total", {{"how", outcome}});
    m_context.metrics.observe("basilbend_batch_accept_seconds", static_cast<double>(took.count()) / 1000);
    m_context.log.info("batch_accepted",
                       {{"batch", m_index.id}, {"workspace", m_index.workspace}, {"items", m_index.itemCount}, {"how", outcome}, {"took_ms", took}});
    const auto field = attemptIdField(m_request.attemptId);
    m_exchange->respond({202, {{"Content-Type", "application/json"}, field}, "{}"});
}

void BatchAcceptance::respondError(int status, ResultCode code, const std::string &message)
{
    const auto retryAfter = status == 409 ? Milliseconds(0) : ResubmitRetryAfter;
    m_context.metrics.count("basilbend_batches_refused_total", {{"status", std::to_string(status)}});
    m_context.log.warning("batch_refused",
                          {{"batch", m_index.id},
                           {"status", status},
                           {"code", static_cast<int>(code)},
                           {"tries", m_failedCommits},
                           {"after_ms", m_context.loop.now() - m_arrivedAt}});
    m_exchange->closeAfterResponse();
    m_exchange->respond(makeRejection(status, Error{code, message, Execution::NotRun, retryAfter}, m_request.attemptId));
}

}
