#pragma once

#include "base/eventloop.h"
#include "http/serverexchange.h"
#include "http/webclient.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"
#include "metadata/relaycodec.h"
#include "metadata/relayrule.h"

#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// A MetadataStore that goes through another process of the system while this one is turned away by the platform's store,
/// and that relays for others. A relayed call is as linearizable as a direct one; peers that do not reach the store either
/// say so at once.
class RelayedStore : public MetadataStore
{
public:
    /// Peers: "IP:PORT" of processes that may relay; own addresses are to be left out.
    RelayedStore(MetadataStore &direct, WebClient &client, EventLoop loop, EventLog &log, const std::vector<std::string> &peers);

    void get(const std::string &key, Callback callback) override;
    void list(const std::string &prefix, const std::string &afterKey, Callback callback) override;
    void watch(const std::string &prefix, std::uint64_t afterRevision, Milliseconds span, Callback callback) override;
    void commit(const MetadataChange &change, Callback callback) override;
    void createLease(Milliseconds span, Callback callback) override;
    void renewLease(std::uint64_t lease, Callback callback) override;
    void endLease(std::uint64_t lease, Callback callback) override;

    /// Answers a peer that asks this process to relay.
    void serve(const std::shared_ptr<ServerExchange> &exchange);

    bool hasPeers() const
    {
        return !m_peers.empty();
    }

    static constexpr const char *Path = "/relay";

private:
    struct OpenRelay;

    void run(RelayedCall call, Callback callback);
    void runDirect(const std::shared_ptr<OpenRelay> &open);
    void relay(const std::shared_ptr<OpenRelay> &open);
    void fail(const std::shared_ptr<OpenRelay> &open);
    void noteDirect(MetadataStatus status);
    void probe();
    void acceptPeer(const std::shared_ptr<OpenRelay> &open, CallEnd end);

    MetadataStore &m_direct;
    WebClient &m_client;
    EventLoop m_loop;
    EventLog &m_log;
    std::vector<asio::ip::tcp::endpoint> m_peers;
    RelayRule m_rule;
    /// The peer that relayed last.
    std::size_t m_peer = 0;
    bool m_isDown = false;
};

}
