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

/// A way to the metadata store that goes through another process of the system while the store turns this one away, and
/// that relays for others. Calls and answers are passed on as they are, so a relayed call is as linearizable as a direct
/// one. Peers that do not reach the store either say so at once.
class RelayedTransport : public StoreTransport
{
public:
    /// Peers: "IP:PORT" of processes that may relay; own addresses are to be left out. RelaysForOthers: this process is a peer
    /// of others; while the store is down it probes more often than they do, and they learn from it that the store is back.
    RelayedTransport(StoreTransport &direct,
                     WebClient &client,
                     EventLoop loop,
                     EventLog &log,
                     const std::vector<std::string> &peers,
                     std::size_t firstPeerIndex,
                     bool relaysForOthers = true);

    void send(const StoreRequest &request, Callback callback) override;
    void abortCalls() override;

    /// Answers a peer that asks this process to relay.
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
    void handlePeerResponse(const std::shared_ptr<OpenCall> &open, StoreResponse response);
    void fail(const std::shared_ptr<OpenCall> &open);
    void recordDirectResult(const StoreResponse &response);
    void probe();

    StoreTransport &m_direct;
    EventLoop m_loop;
    EventLog &m_log;
    std::vector<std::unique_ptr<DirectTransport>> m_peers;
    RelayRule m_rule;
    Milliseconds m_probeInterval;
    /// The peer that relayed last.
    std::size_t m_lastPeerIndex = 0;
    bool m_isDirectDown = false;
};

}
