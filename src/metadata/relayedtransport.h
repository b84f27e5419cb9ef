#pragma once

#include "http/serverexchange.h"
#include "log/eventlog.h"
#include "metadata/relayrule.h"
#include "metadata/storetransport.h"

#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// Transport that sends calls through a peer while the metadata store refuses this process or does not answer it, and that
/// relays calls for peers. Calls and answers are passed on unchanged, so a relayed call is as linearizable as a direct one.
/// A peer that does not reach the store either answers so at once. A peer that is suspended answers nothing, so calls that wait
/// at peers are sent directly as soon as the store answers this process again.
class RelayedTransport : public StoreTransport
{
public:
    /// peers lists the processes that may relay as "IP:PORT", without the addresses of this process. relaysForOthers is set
    /// if this process is itself a peer of others; while the store is down it then probes more often than they do, and they
    /// detect through it that the store is reachable again.
    RelayedTransport(StoreTransport &direct,
                     WebClient &client,
                     EventLoop loop,
                     EventLog &log,
                     const std::vector<std::string> &peers,
                     std::size_t firstPeerIndex,
                     bool relaysForOthers = true);

    void send(const StoreRequest &request, Callback callback) override;
    void abortCalls() override;

    /// Answers the request of a peer to relay a call: 404 for another method or path, 400 if it is malformed, 503 if this
    /// process does not reach the store or the store refused the call, 504 if the store did not answer, otherwise 200 with
    /// the answer of the store.
    void serve(const std::shared_ptr<ServerExchange> &exchange);

    bool hasPeers() const
    {
        return !m_peers.empty();
    }

    static constexpr const char *Path = "/relay";

private:
    struct OpenCall;

    void sendDirect(const std::shared_ptr<OpenCall> &open);
    void sendToPeer(const std::shared_ptr<OpenCall> &open);
    /// Sends a call again that failed at a peer: directly if the store answers this process again, otherwise through the next peer.
    void retry(const std::shared_ptr<OpenCall> &open);
    bool hasUntriedPeer(const OpenCall &open) const;
    void handlePeerResponse(const std::shared_ptr<OpenCall> &open, StoreResponse response);
    void fail(const std::shared_ptr<OpenCall> &open);
    void recordDirectResult(const StoreResponse &response);
    /// Takes the calls that may be sent again back from the peers. Returns their number.
    std::size_t recallFromPeers();
    void probe();

    StoreTransport &m_direct;
    EventLoop m_loop;
    EventLog &m_log;
    std::vector<std::unique_ptr<DirectTransport>> m_peers;
    RelayRule m_rule;
    Milliseconds m_probeInterval;
    /// Index of the peer that relayed the last successful call.
    std::size_t m_lastPeerIndex = 0;
    bool m_isDirectConnectionDown = false;
};

}
