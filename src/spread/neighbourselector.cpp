#include "spread/neighbourselector.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <map>

namespace Basilbend
{

namespace Internal
{

using PeersByNode = std::map<std::string, const Peer *>;

void addPeer(std::vector<Peer> &chosen, const Peer &peer, std::size_t count)
{
    if (chosen.size() < count && std::find(chosen.begin(), chosen.end(), peer) == chosen.end()) {
        chosen.push_back(peer);
    }
}

void addByHash(std::vector<Peer> &chosen, const std::string &key, const PeersByNode &peers, std::size_t limit)
{
    std::vector<std::string> names;
    names.reserve(peers.size());
    for (const auto &[node, peer] : peers) {
        names.push_back(node);
    }
    for (const auto &node : rendezvousOrder(key, names, limit)) {
        addPeer(chosen, *peers.at(node), limit);
    }
}

}

std::vector<Peer> selectNeighbours(const Peer &self, const std::vector<Peer> &peers, std::size_t count)
{
    Internal::PeersByNode sameZone;
    Internal::PeersByNode otherZones;
    for (const auto &peer : peers) {
        if (peer.node != self.node) {
            (peer.zone == self.zone ? sameZone : otherZones).emplace(peer.node, &peer);
        }
    }
    std::vector<Peer> chosen;
    if (!sameZone.empty()) {
        const auto successor = sameZone.upper_bound(self.node);
        Internal::addPeer(chosen, *(successor == sameZone.end() ? sameZone.begin() : successor)->second, count);
    }
    Internal::addByHash(chosen, self.node, sameZone, count / 2);
    Internal::addByHash(chosen, self.node, otherZones, count);
    Internal::addByHash(chosen, self.node, sameZone, count);
    return chosen;
}

bool isWatcher(const Peer &self, const std::vector<Peer> &entries, std::size_t perZone)
{
    std::vector<std::string> names{self.node};
    for (const auto &entry : entries) {
        if (entry.zone == self.zone && entry.node != self.node) {
            names.push_back(entry.node);
        }
    }
    const auto order = rendezvousOrder("watch/" + self.zone, names, perZone);
    return std::find(order.begin(), order.end(), self.node) != order.end();
}

}
