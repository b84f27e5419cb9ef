#include "gateway/leaderresultreader.h"

#include "http/socketoptions.h"
#include "scheduling/resultserver.h"

namespace Basilbend
{

namespace
{

constexpr Milliseconds ConnectTimeout{250};
constexpr std::size_t MaxResponseBytes = 4 * 1024 * 1024;

}

/// A read in progress. The callback is null once the read has completed.
struct LeaderResultReader::Call {
    std::string address;
    Callback callback;
    int status = 0;
    std::string body;
    ClientCall call;
};

LeaderResultReader::LeaderResultReader(GatewayContext &context)
    : m_context(context)
{
}

void LeaderResultReader::read(const std::string &batch, std::size_t position, Milliseconds wait, Callback callback)
{
    const auto address = m_context.leaders.address();
    if (address.empty()) {
        callback(std::nullopt);
        return;
    }
    const auto call = std::make_shared<Call>();
    call->address = address;
    call->callback = std::move(callback);
    const RequestMessage request{"GET",
                                 ResultServer::Path,
                                 {{"Host", address},
                                  {ResultServer::BatchField, batch},
                                  {ResultServer::AfterField, std::to_string(position)},
                                  {ResultServer::WaitField, std::to_string(wait.count())}},
                                 {}};
    CallHooks hooks;
    hooks.onHead = [call](const ResponseHead &head) { call->status = head.status; };
    hooks.onBody = [call](std::string_view data) { call->body.append(data); };
    hooks.maxBodyBytes = MaxResponseBytes;
    hooks.onEnd = [this, call](CallOutcome outcome) { handleEnd(call, outcome); };
    call->call = m_context.client.send(parseSocketEndpoint(address), request, std::move(hooks), ConnectTimeout);
    m_context.loop.runAfter(wait + ResponseMargin, [this, call] {
        if (call->callback) {
            call->call.cancel();
            m_context.leaders.drop(call->address, "silent");
            complete(call, std::nullopt);
        }
    });
}

void LeaderResultReader::handleEnd(const std::shared_ptr<Call> &call, CallOutcome outcome)
{
    if (!call->callback) {
        return;
    }
    if (outcome != CallOutcome::Complete) {
        m_context.leaders.drop(call->address, "unreachable");
        complete(call, std::nullopt);
        return;
    }
    if (call->status == ResultServer::NotLeadingStatus) {
        m_context.leaders.drop(call->address, "not leading");
    }
    if (call->status != 200) {
        complete(call, std::nullopt);
        return;
    }
    auto chunk = BatchRecords::decodeChunk(call->body);
    if (!chunk) {
        m_context.log.warning("leader_results_unreadable", {{"leader", call->address}, {"reason", chunk.error().message}});
        complete(call, std::nullopt);
        return;
    }
    complete(call, std::move(chunk.value()));
}

void LeaderResultReader::complete(const std::shared_ptr<Call> &call, std::optional<BatchRecords::ResultChunk> chunk)
{
    const auto callback = std::move(call->callback);
    call->callback = nullptr;
    callback(std::move(chunk));
}

}
