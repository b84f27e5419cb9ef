#include "gateway/batchapi.h"

#include "gateway/batchacceptance.h"
#include "gateway/rejection.h"
#include "platform/batchcodec.h"
#include "platform/clienttext.h"
#include "platform/submissionreader.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Keeps a page of results below one megabyte.
constexpr std::size_t MaxPageBytes = 900 * 1000;
/// How long ending a batch or reading an item is retried while the metadata store does not respond.
constexpr Milliseconds StoreTimeout{3000};
constexpr Milliseconds RetryDelay{60};
/// Retry-After when this process can't reach the metadata store; another process may reach it.
constexpr Milliseconds StoreUnavailableRetryAfter{300};
/// Retry-After while other batches hold the memory for submissions.
constexpr Milliseconds BusyRetryAfter{500};
/// Fractions of the client's time limit for which a submission waits for the metadata store.
constexpr double StoreTimeShareWithPeers = 0.8;
constexpr double StoreTimeShareWithoutPeers = 0.25;
/// Time limit of a call that submits a batch, if the client sets none. It does not limit the batch itself.
constexpr Milliseconds DefaultSubmissionTimeout{10000};

/// Checks a submitted batch and its id. Returns the number of items.
Result<std::size_t> checkBatch(const std::string &id, std::string_view body, std::size_t maxBytes)
{
    if (body.size() > maxBytes) {
        return Error{ResultCode::BodyTooLarge, "a batch has at most " + std::to_string(maxBytes) + " bytes"};
    }
    if (!isBatchId(id)) {
        return Error{ResultCode::MalformedRequest, "the batch has no id of 1 to " + std::to_string(MaxBatchIdBytes) + " bytes"};
    }
    return checkSubmission(body);
}

}

BatchApi::BatchApi(GatewayContext &context)
    : m_context(context)
    , m_resultCache(context)
    , m_leaderReader(context)
{
}

void BatchApi::submit(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, const RouteRule &route, const std::string &workspace)
{
    const auto &body = exchange->request().body;
    const auto itemCount = checkBatch(request.attemptId, body, m_context.submissionBudget.limitBytes());
    if (!itemCount) {
        rejectSubmission(*exchange, request, itemCount.error());
        return;
    }
    auto memory = m_context.submissionBudget.reserve(body.size());
    if (!memory) {
        exchange->closeAfterResponse();
        rejectSubmission(*exchange, request, Error{ResultCode::Overloaded, "the gateway is writing other batches", Execution::NotRun, BusyRetryAfter});
        return;
    }
    BatchIndex index;
    index.id = request.attemptId;
    index.route = route.name;
    index.host = request.host;
    index.workspace = workspace;
    index.submittedAtMs = m_context.loop.now().milliseconds();
    index.itemCount = itemCount.value();
    // Without peers this process may be disconnected from the store while other processes are not, so the client should retry there.
    const double share = m_context.hasPeers ? StoreTimeShareWithPeers : StoreTimeShareWithoutPeers;
    const auto limit = std::min(route.timeout, request.deadline.value_or(DefaultSubmissionTimeout));
    const Milliseconds storeTimeout(static_cast<std::int64_t>(share * static_cast<double>(limit.count())));
    std::make_shared<BatchAcceptance>(m_context, exchange, request, std::move(index), std::move(*memory), storeTimeout)->start();
}

void BatchApi::rejectSubmission(ServerExchange &exchange, const ClientRequest &request, const Error &error)
{
    m_context.log.warning("batch_not_taken", {{"batch", request.attemptId}, {"code", static_cast<int>(error.code)}, {"reason", error.message}});
    exchange.respond(makeRejection(httpStatus(error.code), error, request.attemptId));
}

void BatchApi::readResults(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, const std::string &workspace)
{
    const auto now = m_context.loop.now();
    const BatchCall call{exchange, request, workspace, now};
    m_leaderReader.read(request.batchId, request.afterPosition, request.wait, [this, call, until = now + request.wait](const auto &chunk) {
        if (!chunk) {
            readFromStore(call, std::max(Milliseconds(0), until - m_context.loop.now()));
            return;
        }
        ResultPage page{ResultPage::Kind::Found, chunk->workspace, chunk->itemCount, {}};
        for (const auto &result : chunk->results) {
            page.results.push_back(&result);
        }
        respondWithResults(call, page);
    });
}

void BatchApi::readFromStore(const BatchCall &call, Milliseconds wait)
{
    m_resultCache.read(call.request.batchId, call.request.afterPosition, wait, [this, call](const ResultPage &page) { respondWithResults(call, page); });
}

void BatchApi::respondWithResults(const BatchCall &call, const ResultPage &page)
{
    if (page.kind == ResultPage::Kind::Unavailable) {
        reject(call, 503, ResultCode::StoreUnavailable, "the metadata store does not answer", StoreUnavailableRetryAfter);
        return;
    }
    if (page.kind == ResultPage::Kind::NoSuchBatch || page.workspace != call.workspace) {
        reject(call, 404, ResultCode::StepUnknown, "no such batch", Milliseconds(0));
        return;
    }
    auto body = encodeResultPage(page.itemCount, call.request.afterPosition, page.results, MaxPageBytes);
    call.exchange->respond({200, {{"Content-Type", "application/json"}}, std::move(body)});
}

void BatchApi::endBatch(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, const std::string &workspace)
{
    endOrRetry({exchange, request, workspace, m_context.loop.now() + StoreTimeout});
}

void BatchApi::endOrRetry(const BatchCall &call)
{
    loadIndex(call, [this, call](const BatchIndex &index, std::uint64_t revision) {
        if (index.ended) {
            call.exchange->respond({200, {}, {}});
        } else {
            commitEnd(call, index, revision);
        }
    });
}

void BatchApi::commitEnd(const BatchCall &call, const BatchIndex &index, std::uint64_t revision)
{
    auto ended = index;
    ended.ended = true;
    const auto key = BatchRecords::indexKey(index.id);
    const MetadataChange change{{{key, revision}}, {{key, BatchRecords::encodeIndex(ended), 0}}, {}};
    m_context.store.commit(change, [this, call, id = index.id](const MetadataReply &reply) {
        if (reply.status == MetadataStatus::Done) {
            m_context.log.info("batch_ended", {{"batch", id}, {"revision", reply.revision}});
            call.exchange->respond({200, {}, {}});
            return;
        }
        // After a conflict or a lost response, the index shows whether the batch has ended.
        retry(call, reply.status, [this, call] { endOrRetry(call); });
    });
}

void BatchApi::readItem(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, const std::string &workspace)
{
    const BatchCall call{exchange, request, workspace, m_context.loop.now() + StoreTimeout};
    loadIndex(call, [this, call](const BatchIndex &index, std::uint64_t) {
        if (index.ended) {
            reject(call, 404, ResultCode::StepExpired, "the batch has ended", Milliseconds(0));
        } else {
            readSubmission(call, {}, std::make_shared<std::string>());
        }
    });
}

void BatchApi::readSubmission(const BatchCall &call, const std::string &afterKey, std::shared_ptr<std::string> body)
{
    const auto parts = BatchRecords::submissionParts(call.request.batchId);
    m_context.store.list(parts.prefix(), afterKey, [this, call, parts, body = std::move(body)](const MetadataReply &reply) {
        if (reply.status != MetadataStatus::Done) {
            retry(call, reply.status, [this, call] { readSubmission(call, {}, std::make_shared<std::string>()); });
            return;
        }
        for (const auto &item : reply.items) {
            if (parts.contains(item.key)) {
                body->append(item.value);
            }
        }
        if (reply.hasMore && !reply.items.empty()) {
            readSubmission(call, reply.items.back().key, body);
        } else {
            respondWithItem(call, *body);
        }
    });
}

void BatchApi::respondWithItem(const BatchCall &call, const std::string &submission)
{
    std::optional<std::string> found;
    const auto read = Basilbend::readSubmission(submission, [&call, &found](BatchItem &&item) {
        const bool isWanted = item.id == call.request.itemId;
        if (isWanted) {
            found = std::move(item.body);
        }
        // The rest need not be read.
        return isWanted ? std::optional<std::string>("found") : std::nullopt;
    });
    if (found) {
        call.exchange->respond({200, {{"Content-Type", "application/octet-stream"}}, std::move(*found)});
    } else if (read) {
        reject(call, 404, ResultCode::StepUnknown, "no such item", Milliseconds(0));
    } else {
        reject(call, 503, ResultCode::InternalError, "the stored batch can't be read", StoreUnavailableRetryAfter);
    }
}

void BatchApi::loadIndex(const BatchCall &call, const IndexHandler &handler)
{
    m_context.store.get(BatchRecords::indexKey(call.request.batchId), [this, call, handler](const MetadataReply &reply) {
        if (reply.status == MetadataStatus::NotFound) {
            reject(call, 404, ResultCode::StepUnknown, "no such batch", Milliseconds(0));
            return;
        }
        const bool hasItem = reply.status == MetadataStatus::Done && !reply.items.empty();
        const auto index = hasItem ? BatchRecords::decodeIndex(reply.items.front().value) : Result<BatchIndex>(Error{ResultCode::StoreUnavailable, {}});
        if (!index) {
            retry(call, reply.status, [this, call, handler] { loadIndex(call, handler); });
        } else if (index.value().workspace != call.workspace) {
            reject(call, 404, ResultCode::StepUnknown, "no such batch", Milliseconds(0));
        } else {
            handler(index.value(), reply.items.front().revision);
        }
    });
}

void BatchApi::retry(const BatchCall &call, MetadataStatus status, const std::function<void()> &operation)
{
    if (!call.exchange->isOpen()) {
        return;
    }
    if (m_context.loop.now() >= call.retryUntil) {
        m_context.log.warning("batch_call_failed", {{"batch", call.request.batchId}, {"store", metadataStatusName(status)}});
        reject(call, 503, ResultCode::StoreUnavailable, "the metadata store does not answer", StoreUnavailableRetryAfter);
        return;
    }
    m_context.loop.runAfter(RetryDelay, operation);
}

void BatchApi::reject(const BatchCall &call, int status, ResultCode code, const std::string &message, Milliseconds retryAfter)
{
    if (status != 404) {
        call.exchange->closeAfterResponse();
    }
    m_context.log.info("batch_call_rejected",
                       {{"batch", call.request.batchId}, {"item", call.request.itemId}, {"status", status}, {"code", static_cast<int>(code)}});
    call.exchange->respond(makeRejection(status, Error{code, message, Execution::NotRun, retryAfter}, call.request.attemptId));
}

}
