#include "metadata/relayedstore.h"

#include "http/socketoptions.h"

namespace Basilbend
{

namespace
{

constexpr Milliseconds ConnectTimeout{250};
/// Pause between the probes of a store that is down.
constexpr Milliseconds ProbeInterval{200};
/// A key that need not exist; any answer shows that the store is back.
constexpr const char *ProbeKey = "probe";
/// Longest time of a relayed call beyond its span.
constexpr Milliseconds RelayTimeout{900};

/// A lease that is created twice ends by itself.
bool isIdempotent(RelayedCallKind kind)
{
    return kind != RelayedCallKind::Commit;
}

}

/// One call on its way: directly, through a peer, or one after the other.
struct RelayedStore::OpenRelay {
    RelayedCall call;
    Callback callback;
    std::size_t peersTried = 0;
    /// The last outcome, told when there is no other way left.
    MetadataReply reply;
    ClientCall client;
    int status = 0;
    std::string body;
    std::uint64_t attempt = 0;
};

RelayedStore::RelayedStore(MetadataStore &direct, WebClient &client, EventLoop loop, EventLog &log, const std::vector<std::string> &peers)
    : m_direct(direct)
    , m_client(client)
    , m_loop(std::move(loop))
    , m_log(log)
{
    for (const auto &peer : peers) {
        m_peers.push_back(socketEndpoint(peer));
    }
}

void RelayedStore::get(const std::string &key, Callback callback)
{
    run({RelayedCallKind::Get, key, {}, 0, Milliseconds(0), {}}, std::move(callback));
}

void RelayedStore::list(const std::string &prefix, const std::string &afterKey, Callback callback)
{
    run({RelayedCallKind::List, prefix, afterKey, 0, Milliseconds(0), {}}, std::move(callback));
}

void RelayedStore::watch(const std::string &prefix, std::uint64_t afterRevision, Milliseconds span, Callback callback)
{
    run({RelayedCallKind::Watch, prefix, {}, afterRevision, span, {}}, std::move(callback));
}

void RelayedStore::commit(const MetadataChange &change, Callback callback)
{
    run({RelayedCallKind::Commit, {}, {}, 0, Milliseconds(0), change}, std::move(callback));
}

void RelayedStore::createLease(Milliseconds span, Callback callback)
{
    run({RelayedCallKind::CreateLease, {}, {}, 0, span, {}}, std::move(callback));
}

void RelayedStore::renewLease(std::uint64_t lease, Callback callback)
{
    run({RelayedCallKind::RenewLease, {}, {}, lease, Milliseconds(0), {}}, std::move(callback));
}

void RelayedStore::endLease(std::uint64_t lease, Callback callback)
{
    run({RelayedCallKind::EndLease, {}, {}, lease, Milliseconds(0), {}}, std::move(callback));
}

void RelayedStore::run(RelayedCall call, Callback callback)
{
    auto open = std::make_shared<OpenRelay>();
    open->call = std::move(call);
    open->callback = std::move(callback);
    open->reply.status = MetadataStatus::Refused;
    if (m_rule.goesDirectly()) {
        runDirect(open);
    } else if (!m_peers.empty()) {
        relay(open);
    } else {
        fail(open);
    }
}

void RelayedStore::runDirect(const std::shared_ptr<OpenRelay> &open)
{
    runRelayedCall(m_direct, open->call, [this, open](MetadataReply reply) {
        noteDirect(reply.status);
        const bool isFailure = reply.status == MetadataStatus::Refused || reply.status == MetadataStatus::Unknown;
        const bool mayRelay = isFailure && open->peersTried < m_peers.size() && RelayRule::mayRepeat(reply.status, isIdempotent(open->call.kind));
        if (mayRelay) {
            open->reply = std::move(reply);
            relay(open);
        } else {
            open->callback(std::move(reply));
        }
    });
}

void RelayedStore::noteDirect(MetadataStatus status)
{
    if (m_rule.noteDirect(status)) {
        m_log.warning("store_direct_lost", {{"last", metadataStatusName(status)}});
        m_isDown = true;
        probe();
    } else if (m_isDown && m_rule.goesDirectly()) {
        m_isDown = false;
        m_log.warning("store_direct_again", {});
    }
}

void RelayedStore::probe()
{
    m_direct.get(ProbeKey, [this](const MetadataReply &reply) {
        noteDirect(reply.status);
        if (!m_rule.goesDirectly()) {
            m_loop.runAfter(ProbeInterval, [this] { probe(); });
        }
    });
}

void RelayedStore::relay(const std::shared_ptr<OpenRelay> &open)
{
    const auto peer = m_peers[(m_peer + open->peersTried) % m_peers.size()];
    ++open->peersTried;
    open->status = 0;
    open->body.clear();
    const auto attempt = ++open->attempt;
    RequestMessage message{"POST", Path, {{"Host", "peer"}, {"Content-Type", "application/json"}}, encodeRelayedCall(open->call)};
    const auto endOnce = [this, open, attempt](CallEnd end) {
        if (open->attempt == attempt) {
            ++open->attempt;
            open->client.cancel();
            acceptPeer(open, end);
        }
    };
    CallHooks hooks;
    hooks.onHead = [open, attempt](const ResponseHead &head) { open->status = open->attempt == attempt ? head.status : open->status; };
    hooks.onBody = [open, attempt](std::string_view data) {
        if (open->attempt == attempt) {
            open->body.append(data);
        }
    };
    hooks.onEnd = endOnce;
    open->client = m_client.send(peer, message, std::move(hooks), ConnectTimeout);
    m_loop.runAfter(open->call.span + RelayTimeout, [endOnce] { endOnce(CallEnd::ClosedUnanswered); });
}

void RelayedStore::acceptPeer(const std::shared_ptr<OpenRelay> &open, CallEnd end)
{
    if (end == CallEnd::Complete && open->status == 200) {
        auto reply = decodeRelayedReply(open->body);
        const bool isAnswer = reply && reply.value().status != MetadataStatus::Refused && reply.value().status != MetadataStatus::Unknown;
        if (isAnswer) {
            m_peer = (m_peer + open->peersTried - 1) % m_peers.size();
            open->callback(std::move(reply.value()));
            return;
        }
        open->reply.status = reply ? reply.value().status : MetadataStatus::Unknown;
    } else if (end != CallEnd::NotConnected && open->status != 503) {
        open->reply.status = MetadataStatus::Unknown;
    }
    const bool mayRepeat = RelayRule::mayRepeat(open->reply.status, isIdempotent(open->call.kind));
    if (mayRepeat && open->peersTried < m_peers.size()) {
        relay(open);
    } else {
        fail(open);
    }
}

void RelayedStore::fail(const std::shared_ptr<OpenRelay> &open)
{
    // Told from the loop, so that a caller that repeats at once does not recurse.
    m_loop.runAfter(Milliseconds(0), [open] { open->callback(std::move(open->reply)); });
}

void RelayedStore::serve(const std::shared_ptr<ServerExchange> &exchange)
{
    const auto &request = exchange->request();
    if (request.method != "POST" || targetPath(request.target) != Path) {
        exchange->respond({404, {}, {}});
        return;
    }
    const auto call = decodeRelayedCall(request.body);
    if (!call) {
        m_log.warning("relay_malformed", {{"reason", call.error().message}});
        exchange->respond({400, {}, {}});
        return;
    }
    if (!m_rule.isDirectHealthy()) {
        exchange->respond({503, {}, {}});
        return;
    }
    runRelayedCall(m_direct, call.value(), [this, exchange](const MetadataReply &reply) {
        noteDirect(reply.status);
        exchange->respond({200, {{"Content-Type", "application/json"}}, encodeRelayedReply(reply)});
    });
}

}
