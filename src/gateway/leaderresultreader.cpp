#include "gateway/leaderresultreader.h"

#include "election/leaderelection.h"
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
    if (m_leaderAddress.empty()) {
        lookUp();
        callback(std::nullopt);
        return;
    }
    const auto call = std::make_shared<Call>();
    call->address = m_leaderAddress;
    call->callback = std::move(callback);
    const RequestMessage request{"GET",
                                 ResultServer::Path,
                                 {{"Host", m_leaderAddress},
                                  {ResultServer::BatchField, batch},
                                  {ResultServer::AfterField, std::to_string(position)},
                                  {ResultServer::WaitField, std::to_string(wait.count())}},
                                 {}};
    CallHooks hooks;
    hooks.onHead = [call](const ResponseHead &head) { call->status = head.status; };
    hooks.onBody = [call](std::string_view data) { call->body.append(data); };
    hooks.maxBodyBytes = MaxResponseBytes;
    hooks.onEnd = [this, call](CallOutcome outcome) { handleEnd(call, outcome); };
    call->call = m_context.client.send(parseSocketEndpoint(m_leaderAddress), request, std::move(hooks), ConnectTimeout);
    m_context.loop.runAfter(wait + ResponseMargin, [this, call] {
        if (call->callback) {
            call->call.cancel();
            dropLeader(call->address, "silent");
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
        dropLeader(call->address, "unreachable");
        complete(call, std::nullopt);
        return;
    }
    if (call->status == ResultServer::NotLeadingStatus) {
        dropLeader(call->address, "not leading");
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

void LeaderResultReader::dropLeader(const std::string &address, const char *why)
{
    if (m_leaderAddress == address) {
        m_context.log.info("leader_forgotten", {{"leader", address}, {"why", why}});
        m_leaderAddress.clear();
        m_suspectAddress = address;
        m_suspectedAt = m_context.loop.now();
        lookUp();
    }
}

void LeaderResultReader::lookUp()
{
    const auto now = m_context.loop.now();
    if (m_isLookingUp || (m_lastLookUpAt && now - *m_lastLookUpAt < LookUpInterval)) {
        return;
    }
    m_isLookingUp = true;
    m_lastLookUpAt = now;
    m_context.store.get(LeaderElection::holderKey(), [this](const MetadataReply &reply) {
        m_isLookingUp = false;
        const bool hasItem = reply.status == MetadataStatus::Done && !reply.items.empty();
        const auto record = hasItem ? decodeLeaderRecord(reply.items.front().value) : std::nullopt;
        const bool isSuspect = record && record->address == m_suspectAddress && m_context.loop.now() - m_suspectedAt < SuspectCooldown;
        if (record && !isSuspect) {
            m_leaderAddress = record->address;
        }
    });
}

}
