#include "metadata/storetransport.h"

#include <charconv>
#include <sstream>

namespace Basilbend
{

namespace
{

constexpr Milliseconds ConnectTimeout{500};
/// Larger than any response of the store: a page or a value of 1 MB, encoded.
constexpr std::size_t MaxResponseBytes = 16 * 1024 * 1024;

}

struct DirectTransport::OpenCall {
    ClientCall call;
    Callback callback;
    StoreResponse response;
    bool isIdempotent = true;
    bool isFinished = false;
};

DirectTransport::DirectTransport(WebClient &client, EventLoop loop, asio::ip::tcp::endpoint server)
    : m_client(client)
    , m_loop(std::move(loop))
    , m_server(std::move(server))
{
    std::ostringstream text;
    text << m_server;
    m_hostHeader = text.str();
}

DirectTransport::~DirectTransport() = default;

void DirectTransport::send(const StoreRequest &request, Callback callback)
{
    auto message = request.message;
    message.fields.set("Host", m_hostHeader);
    auto open = std::make_shared<OpenCall>();
    open->callback = std::move(callback);
    open->isIdempotent = request.isIdempotent;
    m_openCalls.insert(open);
    CallHooks hooks;
    hooks.onHead = [open](const ResponseHead &head) {
        open->response.status = head.status;
        const auto relayed = head.fields.value(RelayStatusField);
        std::from_chars(relayed.data(), relayed.data() + relayed.size(), open->response.relayedStatus);
    };
    hooks.onBody = [open](std::string_view data) { open->response.body.append(data); };
    hooks.maxBodyBytes = MaxResponseBytes;
    hooks.onEnd = [this, open](CallOutcome outcome) { finish(open, outcome); };
    open->call = m_client.send(m_server, message, std::move(hooks), ConnectTimeout);
    m_loop.runAfter(request.timeout, [this, open] { finish(open, CallOutcome::ClosedUnanswered); });
}

void DirectTransport::abortCalls()
{
    const auto calls = m_openCalls;
    for (const auto &open : calls) {
        finish(open, CallOutcome::ClosedUnanswered);
    }
}

std::size_t DirectTransport::abortIdempotentCalls()
{
    const auto calls = m_openCalls;
    std::size_t n = 0;
    for (const auto &open : calls) {
        if (open->isIdempotent) {
            ++n;
            finish(open, CallOutcome::ClosedUnanswered);
        }
    }
    return n;
}

void DirectTransport::finish(const std::shared_ptr<OpenCall> &open, CallOutcome outcome)
{
    if (open->isFinished) {
        return;
    }
    open->isFinished = true;
    m_openCalls.erase(open);
    open->response.outcome = outcome;
    open->call.cancel();
    const auto callback = std::move(open->callback);
    open->callback = nullptr;
    callback(std::move(open->response));
}

}
