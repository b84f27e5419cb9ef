#include "gateway/grantclient.h"

#include "http/socketoptions.h"
#include "scheduling/grantserver.h"

namespace Basilbend
{

namespace
{

constexpr Milliseconds ConnectTimeout{150};
constexpr std::size_t MaxResponseBytes = 64 * 1024;

}

/// A request in progress. The callback is null once it has completed.
struct GrantClient::Call {
    std::string address;
    Callback callback;
    int status = 0;
    std::string body;
    ClientCall call;
};

GrantClient::GrantClient(WebClient &client, EventLoop loop, EventLog &log, LeaderDirectory &leaders)
    : m_client(client)
    , m_loop(std::move(loop))
    , m_log(log)
    , m_leaders(leaders)
{
}

void GrantClient::ask(const std::vector<const EndpointRecord *> &endpoints, AnnouncedLimits &known, Callback callback)
{
    const auto now = m_loop.now();
    GrantRequest request;
    for (const auto *endpoint : endpoints) {
        if (const auto limit = known.limitOf(*endpoint)) {
            request.candidates.push_back({{endpoint->id, endpoint->startedAtMs}, limit->requestsPerSecond, now - limit->namedAt});
        }
    }
    send(request, [&known, now, callback = std::move(callback)](std::optional<GrantReply> reply) {
        for (const auto &id : reply ? reply->unlimited : std::vector<std::string>()) {
            known.end(id, now);
        }
        callback(std::move(reply));
    });
}

void GrantClient::reportEnd(const EndpointStart &endpoint, Timestamp sentAt)
{
    send({{}, {{endpoint, 0, m_loop.now() - sentAt}}}, [](const std::optional<GrantReply> &) {});
}

void GrantClient::send(const GrantRequest &request, Callback callback)
{
    const auto address = m_leaders.address();
    if (address.empty()) {
        callback(std::nullopt);
        return;
    }
    const auto call = std::make_shared<Call>();
    call->address = address;
    call->callback = std::move(callback);
    const RequestMessage message{"POST", GrantServer::Path, {{"Host", address}, {"Content-Type", "application/json"}}, encodeGrantRequest(request)};
    CallHooks hooks;
    hooks.onHead = [call](const ResponseHead &head) { call->status = head.status; };
    hooks.onBody = [call](std::string_view data) { call->body.append(data); };
    hooks.maxBodyBytes = MaxResponseBytes;
    hooks.onEnd = [this, call](CallOutcome outcome) { handleEnd(call, outcome); };
    call->call = m_client.send(parseSocketEndpoint(address), message, std::move(hooks), ConnectTimeout);
    m_loop.runAfter(ResponseTimeout, [this, call] {
        if (call->callback) {
            call->call.cancel();
            m_leaders.drop(call->address, "silent");
            complete(call, std::nullopt);
        }
    });
}

void GrantClient::handleEnd(const std::shared_ptr<Call> &call, CallOutcome outcome)
{
    if (!call->callback) {
        return;
    }
    if (outcome != CallOutcome::Complete) {
        m_leaders.drop(call->address, "unreachable");
    } else if (call->status == GrantServer::NotLeadingStatus) {
        m_leaders.drop(call->address, "not leading");
    }
    if (outcome != CallOutcome::Complete || call->status != 200) {
        complete(call, std::nullopt);
        return;
    }
    auto reply = decodeGrantReply(call->body);
    if (!reply) {
        m_log.warning("grant_unreadable", {{"leader", call->address}, {"reason", reply.error().message}});
        complete(call, std::nullopt);
        return;
    }
    complete(call, std::move(reply.value()));
}

void GrantClient::complete(const std::shared_ptr<Call> &call, std::optional<GrantReply> reply)
{
    const auto callback = std::move(call->callback);
    call->callback = nullptr;
    callback(std::move(reply));
}

}
