#pragma once

#include "spread/peer.h"

#include <vector>

namespace Basilbend
{

/// Number of neighbours of a process: with 4, a push reaches 10,720 processes in 7 to 8 rounds.
constexpr std::size_t DefaultNeighbourCount = 4;

/// Watchers per zone, so that one may fail unnoticed.
constexpr std::size_t DefaultWatchersPerZone = 2;

/// Chooses the processes that a process exchanges heartbeats with. The successor in the zone's ring of names keeps a zone
/// connected whatever the hash chooses; half of the others are in other zones. Changes little when the list changes.
std::vector<Peer> selectNeighbours(const Peer &self, const std::vector<Peer> &peers, std::size_t count = DefaultNeighbourCount);

/// True when this entry is one of those in its zone that watch the store. The list holds live entries; self may be missing.
bool isWatcher(const Peer &self, const std::vector<Peer> &entries, std::size_t perZone = DefaultWatchersPerZone);

}
