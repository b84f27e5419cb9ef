#include "gateway/leaderresults.h"

#include "election/leaderelection.h"
#include "http/socketoptions.h"
#include "scheduling/resultserver.h"

namespace Basilbend
{

namespace
{

constexpr Milliseconds ConnectTimeout{250};
constexpr std::size_t MaxAnswerBytes = 4 * 1024 * 1024;

}

/// A read that is under way.
struct LeaderResults::Call {
    std::string address;
    Callback callback;
    int status = 0;
    std::string body;
    ClientCall call;
};

LeaderResults::LeaderResults(GatewayContext &context)
    : m_context(context)
{
}

void LeaderResults::read(const std::string &batch, std::size_t position, Milliseconds wait, Callback callback)
{
    if (m_address.empty()) {
        lookUp();
        callback(std::nullopt);
        return;
    }
    const auto call = std::make_shared<Call>();
    call->address = m_address;
    call->callback = std::move(callback);
    const RequestMessage request{"GET",
                                 ResultServer::Path,
                                 {{"Host", m_address},
                                  {ResultServer::BatchField, batch},
                                  {ResultServer::AfterField, std::to_string(position)},
                                  {ResultServer::WaitField, std::to_string(wait.count())}},
                                 {}};
    CallHooks hooks;
    hooks.onHead = [call](const ResponseHead &head) { call->status = head.status; };
    hooks.onBody = [call](std::string_view data) { call->body.append(data); };
    hooks.maxBodyBytes = MaxAnswerBytes;
    hooks.onEnd = [this, call](CallOutcome how) { acceptEnd(call, how); };
    call->call = m_context.client.send(parseSocketEndpoint(m_address), request, std::move(hooks), ConnectTimeout);
    m_context.loop.runAfter(wait + AnswerMargin, [this, call] {
        if (call->callback) {
            call->call.cancel();
            forgetLeader(call->address, "silent");
            end(call, std::nullopt);
        }
    });
}

void LeaderResults::acceptEnd(const std::shared_ptr<Call> &call, CallOutcome how)
{
    if (!call->callback) {
        return;
    }
    if (how != CallOutcome::Complete) {
        forgetLeader(call->address, "unreachable");
        end(call, std::nullopt);
        return;
    }
    if (call->status == ResultServer::NotLeadingStatus) {
        forgetLeader(call->address, "not leading");
    }
    if (call->status != 200) {
        end(call, std::nullopt);
        return;
    }
    auto chunk = BatchRecords::decodeChunk(call->body);
    if (!chunk) {
        m_context.log.warning("leader_results_unreadable", {{"leader", call->address}, {"reason", chunk.error().message}});
        end(call, std::nullopt);
        return;
    }
    end(call, std::move(chunk.value()));
}

void LeaderResults::end(const std::shared_ptr<Call> &call, std::optional<BatchRecords::ResultChunk> chunk)
{
    const auto callback = std::move(call->callback);
    call->callback = nullptr;
    callback(std::move(chunk));
}

void LeaderResults::forgetLeader(const std::string &address, const char *why)
{
    if (m_address == address) {
        m_context.log.info("leader_forgotten", {{"leader", address}, {"why", why}});
        m_address.clear();
        m_suspect = address;
        m_suspectSince = m_context.loop.now();
        lookUp();
    }
}

void LeaderResults::lookUp()
{
    const auto now = m_context.loop.now();
    if (m_isLookingUp || (m_lookedUpAt && now - *m_lookedUpAt < LookUpPause)) {
        return;
    }
    m_isLookingUp = true;
    m_lookedUpAt = now;
    m_context.store.get(LeaderElection::holderKey(), [this](const MetadataReply &reply) {
        m_isLookingUp = false;
        const bool hasItem = reply.status == MetadataStatus::Done && !reply.items.empty();
        const auto record = hasItem ? decodeLeaderRecord(reply.items.front().value) : std::nullopt;
        const bool isSuspect = record && record->address == m_suspect && m_context.loop.now() - m_suspectSince < SuspectTime;
        if (record && !isSuspect) {
            m_address = record->address;
        }
    });
}

}
