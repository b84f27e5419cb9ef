#include "metadata/relayedtransport.h"

#include "http/socketoptions.h"

#include <charconv>

namespace Basilbend
{

namespace
{

/// Pause between probes while the store is down.
constexpr Milliseconds ProbeInterval{200};
/// Pause between probes for processes that do not relay for others: in a large fleet, their probes would load a store that
/// has just come back.
constexpr Milliseconds NonRelayingProbeInterval{1000};
constexpr Milliseconds ProbeTimeout{1000};
/// A call without side effects; any answer shows that the store is back.
constexpr const char *ProbeTarget = "/";
/// Maximum timeout of a relayed call.
constexpr Milliseconds MaxRelayTimeout{30000};

constexpr const char *MethodField = "Relay-Method";
constexpr const char *TargetField = "Relay-Target";
constexpr const char *TimeoutField = "Relay-Timeout-Ms";

int parseNumber(std::string_view text)
{
    int n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

}

/// One call in progress: sent directly, through one peer after another, or first directly and then through peers.
struct RelayedTransport::OpenCall {
    StoreRequest request;
    Callback callback;
    /// Index of the first peer that is asked; the others follow in order, whichever peer other calls meanwhile found to answer.
    std::size_t firstPeerIndex = 0;
    std::size_t triedPeerCount = 0;
    /// The last result, passed to the callback when there is no other peer to try.
    StoreResponse response;
};

RelayedTransport::RelayedTransport(StoreTransport &direct,
                                   WebClient &client,
                                   EventLoop loop,
                                   EventLog &log,
                                   const std::vector<std::string> &peers,
                                   std::size_t firstPeerIndex,
                                   bool relaysForOthers)
    : m_direct(direct)
    , m_loop(std::move(loop))
    , m_log(log)
    , m_probeInterval(relaysForOthers || peers.empty() ? ProbeInterval : NonRelayingProbeInterval)
    , m_lastPeerIndex(firstPeerIndex)
{
    for (const auto &peer : peers) {
        m_peers.push_back(std::make_unique<DirectTransport>(client, m_loop, parseSocketEndpoint(peer)));
    }
}

void RelayedTransport::send(const StoreRequest &request, Callback callback)
{
    auto open = std::make_shared<OpenCall>();
    open->request = request;
    open->callback = std::move(callback);
    open->response.outcome = CallOutcome::NotConnected;
    if (m_rule.isDirectAvailable()) {
        sendDirect(open);
    } else if (!m_peers.empty()) {
        sendToPeer(open);
    } else {
        fail(open);
    }
}

void RelayedTransport::sendDirect(const std::shared_ptr<OpenCall> &open)
{
    m_direct.send(open->request, [this, open](StoreResponse response) {
        recordDirectResult(response);
        const bool canRelay = !response.isAnswer() && hasUntriedPeer(*open) && RelayRule::mayRetry(response.isRefusal(), open->request.isIdempotent);
        if (canRelay) {
            open->response = std::move(response);
            sendToPeer(open);
        } else {
            open->callback(std::move(response));
        }
    });
}

void RelayedTransport::sendToPeer(const std::shared_ptr<OpenCall> &open)
{
    if (open->triedPeerCount == 0) {
        open->firstPeerIndex = m_lastPeerIndex;
    }
    const auto peerIndex = (open->firstPeerIndex + open->triedPeerCount) % m_peers.size();
    ++open->triedPeerCount;
    const auto &call = open->request;
    StoreRequest relayed;
    relayed.message = {"POST",
                       Path,
                       {{MethodField, call.message.method},
                        {TargetField, call.message.target},
                        {TimeoutField, std::to_string(call.timeout.count())},
                        {"Content-Type", "application/json"}},
                       call.message.body};
    relayed.timeout = call.timeout;
    relayed.isIdempotent = call.isIdempotent;
    m_peers[peerIndex]->send(relayed, [this, open, peerIndex, sentAt = m_loop.now()](StoreResponse response) {
        if (response.outcome == CallOutcome::Complete && response.status == 200) {
            m_lastPeerIndex = peerIndex;
        }
        if (response.outcome == CallOutcome::ClosedUnanswered) {
            m_log.warning("relay_unanswered",
                          {{"peer", m_peers[peerIndex]->address()},
                           {"target", open->request.message.target},
                           {"waited_ms", m_loop.now() - sentAt},
                           {"direct", m_rule.isDirectAvailable()}});
        }
        handlePeerResponse(open, std::move(response));
    });
}

void RelayedTransport::handlePeerResponse(const std::shared_ptr<OpenCall> &open, StoreResponse response)
{
    if (response.isAnswer() && response.status == 200) {
        response.status = response.relayedStatus;
        open->callback(std::move(response));
        return;
    }
    open->response = std::move(response);
    if (RelayRule::mayRetry(open->response.isRefusal(), open->request.isIdempotent)) {
        retry(open);
    } else {
        fail(open);
    }
}

void RelayedTransport::retry(const std::shared_ptr<OpenCall> &open)
{
    if (m_rule.isHealthy()) {
        sendDirect(open);
    } else if (hasUntriedPeer(*open)) {
        sendToPeer(open);
    } else {
        fail(open);
    }
}

bool RelayedTransport::hasUntriedPeer(const OpenCall &open) const
{
    return open.triedPeerCount < m_peers.size();
}

void RelayedTransport::fail(const std::shared_ptr<OpenCall> &open)
{
    // The callback runs from the event loop, so that a caller that retries at once does not recurse.
    m_loop.runAfter(Milliseconds(0), [open] { open->callback(std::move(open->response)); });
}

void RelayedTransport::recordDirectResult(const StoreResponse &response)
{
    if (m_rule.recordDirectResult(response.isAnswer())) {
        m_log.warning("store_direct_lost", {{"end", callOutcomeName(response.outcome)}, {"status", response.status}});
        m_isDirectConnectionDown = true;
        // Open watches would detect the failure only at the end of their span.
        m_loop.runAfter(Milliseconds(0), [this] {
            m_direct.abortCalls();
            probe();
        });
    } else if (m_isDirectConnectionDown && m_rule.isDirectAvailable()) {
        m_isDirectConnectionDown = false;
        // From the event loop: the ends of these calls are reported to callbacks, which may send others.
        m_loop.runAfter(Milliseconds(0), [this] { m_log.warning("store_direct_again", {{"recalled", recallFromPeers()}}); });
    }
}

std::size_t RelayedTransport::recallFromPeers()
{
    std::size_t n = 0;
    for (const auto &peer : m_peers) {
        n += peer->abortIdempotentCalls();
    }
    return n;
}

void RelayedTransport::abortCalls()
{
    m_direct.abortCalls();
}

void RelayedTransport::probe()
{
    StoreRequest request;
    request.message = {"GET", ProbeTarget, {}, {}};
    request.timeout = ProbeTimeout;
    m_direct.send(request, [this](const StoreResponse &response) {
        recordDirectResult(response);
        if (!m_rule.isDirectAvailable()) {
            m_loop.runAfter(m_probeInterval, [this] { probe(); });
        }
    });
}

void RelayedTransport::serve(const std::shared_ptr<ServerExchange> &exchange)
{
    const auto &message = exchange->request();
    if (message.method != "POST" || targetPath(message.target) != Path) {
        exchange->respond({404, {}, {}});
        return;
    }
    StoreRequest request;
    request.message = {
        std::string(message.fields.value(MethodField)), std::string(message.fields.value(TargetField)), {{"Content-Type", "application/json"}}, message.body};
    request.timeout = Milliseconds(parseNumber(message.fields.value(TimeoutField)));
    const bool isValid =
        !request.message.method.empty() && !request.message.target.empty() && request.timeout.count() > 0 && request.timeout <= MaxRelayTimeout;
    if (!isValid) {
        m_log.warning("relay_malformed", {{"target", request.message.target}, {"timeout_ms", request.timeout}});
        exchange->respond({400, {}, {}});
        return;
    }
    if (!m_rule.isHealthy()) {
        exchange->respond({503, {}, {}});
        return;
    }
    m_direct.send(request, [this, exchange](StoreResponse response) {
        recordDirectResult(response);
        if (response.isAnswer()) {
            exchange->respond({200, {{RelayStatusField, std::to_string(response.status)}}, std::move(response.body)});
        } else {
            exchange->respond({response.isRefusal() ? 503 : 504, {}, {}});
        }
    });
}

}
