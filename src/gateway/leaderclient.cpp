#include "gateway/leaderclient.h"

#include "http/socketoptions.h"
#include "scheduling/resultserver.h"

#include <utility>

namespace Basilbend
{

namespace
{

constexpr Milliseconds ConnectTimeout{250};
constexpr std::size_t MaxResponseBytes = 4 * 1024 * 1024;

}

/// A request in progress. The callback is null once it has completed.
struct LeaderClient::Call {
    std::string address;
    Callback callback;
    int status = 0;
    std::string body;
    ClientCall call;
};

LeaderClient::LeaderClient(WebClient &client, EventLoop loop, EventLog &log, MetadataStore &store)
    : m_client(client)
    , m_loop(std::move(loop))
    , m_leaders(store, m_loop, log)
{
}

void LeaderClient::send(RequestMessage request, Milliseconds timeout, Callback callback)
{
    const auto address = m_leaders.address();
    if (address.empty()) {
        callback(std::nullopt);
        return;
    }
    const auto call = std::make_shared<Call>();
    call->address = address;
    call->callback = std::move(callback);
    request.fields.set("Host", address);
    CallHooks hooks;
    hooks.onHead = [call](const ResponseHead &head) { call->status = head.status; };
    hooks.onBody = [call](std::string_view data) { call->body.append(data); };
    hooks.maxBodyBytes = MaxResponseBytes;
    hooks.onEnd = [this, call](CallOutcome outcome) { handleEnd(call, outcome); };
    call->call = m_client.send(parseSocketEndpoint(address), request, std::move(hooks), ConnectTimeout);
    m_loop.runAfter(timeout, [this, call] {
        if (call->callback) {
            call->call.cancel();
            m_leaders.drop(call->address, "silent");
            complete(call, std::nullopt);
        }
    });
}

void LeaderClient::sendAfterLookUp(RequestMessage request, Milliseconds timeout, Callback callback)
{
    const auto isSent = std::make_shared<bool>(false);
    const auto step = [this, isSent, request = std::move(request), timeout, callback = std::move(callback)] {
        if (!std::exchange(*isSent, true)) {
            send(request, timeout, callback);
        }
    };
    m_leaders.runAfterLookUp(step);
    if (!*isSent) {
        m_loop.runAfter(MaxLookUpWait, step);
    }
}

void LeaderClient::handleEnd(const std::shared_ptr<Call> &call, CallOutcome outcome)
{
    if (!call->callback) {
        return;
    }
    if (outcome != CallOutcome::Complete) {
        m_leaders.drop(call->address, "unreachable");
    } else if (call->status == ResultServer::NotLeadingStatus) {
        m_leaders.drop(call->address, "not leading");
    }
    const bool isSuccess = outcome == CallOutcome::Complete && call->status == 200;
    complete(call, isSuccess ? std::optional(LeaderResponse{call->address, std::move(call->body)}) : std::nullopt);
}

void LeaderClient::complete(const std::shared_ptr<Call> &call, std::optional<LeaderResponse> response)
{
    const auto callback = std::move(call->callback);
    call->callback = nullptr;
    callback(std::move(response));
}

}
