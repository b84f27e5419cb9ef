#pragma once

#include "base/timestamp.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

struct WeightRolloutSettings {
    /// Replicas per zone that read from the weight store; two, so that the loss of one doesn't stop the zone.
    std::size_t seedsPerZone = 2;

    /// Loads that an updated replica serves to its neighbours at once.
    std::size_t loadsPerSource = 2;

    /// At most one in this many of a zone's replicas swaps at once, but always one.
    std::size_t swapShare = 5;

    /// Reads from the weight store at once, over all zones; its rate limit may slow them further.
    std::size_t storeReads = 48;

    Milliseconds loadTimeout{10000};

    /// Pause after a failed read from the store.
    Milliseconds storePause{1000};
    std::size_t retries = 2;
};

/// An order for one replica to load a version, from an updated replica of its zone or, when source is empty, from the
/// weight store. Repeating an order is harmless.
struct LoadOrder {
    std::string replica;
    std::uint64_t version = 0;
    std::string source;
};

/// Plans how a new weight version reaches all replicas of a policy: two seeds per zone from the store, then a tree within
/// the zone. Takes confirmations, returns orders; nothing is assumed loaded until it is confirmed.
class WeightRollout
{
public:
    explicit WeightRollout(WeightRolloutSettings settings = {});

    void addReplica(const std::string &replica, const std::string &zone);
    void removeReplica(const std::string &replica);

    /// A newer version was published; returns false when it isn't newer. Replicas that were taken out get another chance.
    bool setTarget(std::uint64_t version);

    /// A replica proved its version. One that was taken out is back if the version is the target.
    void confirmed(const std::string &replica, std::uint64_t version);

    /// A load failed. A failed read from a store that has not served this version to anybody does not count against the
    /// replica, or an outage of the store would take the whole zone out of rotation.
    void failed(const std::string &replica, Timestamp now);

    /// The weight store refused a read for this long; it does not count as a failure of the replica.
    void storeRefused(const std::string &replica, Milliseconds retryAfter, Timestamp now);

    /// Orders to send now. Loads without confirmation for loadTimeout count as failed first.
    std::vector<LoadOrder> takeOrders(Timestamp now);

    /// Replicas that failed too often; routing must not use them.
    std::vector<std::string> outOfRotation() const;

    std::size_t updated() const;
    std::size_t swapping(const std::string &zone) const;

    /// All replicas are updated or out of rotation.
    bool isComplete() const;

private:
    struct Load {
        std::uint64_t version = 0;
        std::string source;
        Timestamp since;
    };
    struct Replica {
        std::string zone;
        std::uint64_t version = 0;
        bool fromStore = false;
        bool out = false;
        std::size_t failures = 0;
        /// Orders for the target so far; replicas with fewer come first, so that a bad one can't hold up a seed's place.
        std::size_t tries = 0;
        std::size_t sourceFailures = 0;
        std::string lastSource;
        std::optional<Load> load;
    };
    using Zone = std::vector<std::string>;

    bool needsLoad(const Replica &replica) const;
    bool isSource(const Replica &replica) const;
    void expireLoads(Timestamp now);
    Zone candidates(const Zone &zone) const;
    void orderZone(const Zone &zone, Timestamp now, std::vector<LoadOrder> &orders);
    bool mayReadStore(const Zone &zone, Timestamp now) const;
    std::string chooseSource(const Zone &zone, const std::string &avoid) const;
    std::size_t served(const std::string &source) const;

    WeightRolloutSettings m_settings;
    std::uint64_t m_target = 0;
    std::map<std::string, Replica> m_replicas;
    std::map<std::string, Zone> m_zones;
    /// Loads in progress per source; the empty name is the weight store.
    std::map<std::string, std::size_t> m_served;
    Timestamp m_storeRefusedUntil;
    bool m_storeServedTarget = false;
};

}
