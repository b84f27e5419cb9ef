#pragma once

#include "base/timestamp.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

struct ScalerSettings {
    /// Tokens per second of one full replica.
    double tokensPerReplica = 1000;

    /// Time from the order to the first request.
    Milliseconds startUp{30000};

    /// Bounds of a zone for which setBounds was not called.
    std::size_t leastReplicas = 1;
    std::size_t mostReplicas = 1000;

    /// Replicas are added above this part of the capacity, pending replicas included, and removed below the other part.
    double upAbove = 0.8;
    double downBelow = 0.5;
    Milliseconds downAfter{120000};

    /// Of the demand of the last 30 s.
    double quantile = 0.9;
};

/// An order to start or stop endpoints in a zone. Zone, epoch and number identify it; it is repeated unchanged until answered.
struct EndpointOrder {
    enum class Kind {
        Start,
        Stop,
    };

    std::string zone;
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    Kind kind = Kind::Start;
    std::size_t count = 0;

    std::string id() const;
};

bool operator==(const EndpointOrder &a, const EndpointOrder &b);

/// Decides how many endpoints each zone needs. Sends nothing itself.
class EndpointScaler
{
public:
    /// The epoch is that of the leadership under which the orders are sent.
    EndpointScaler(ScalerSettings settings, std::uint64_t epoch);

    void setBounds(const std::string &zone, std::size_t least, std::size_t most);

    /// Once a second per zone: tokens per second asked for and replicas that serve.
    void observe(const std::string &zone, double tokensPerSecond, std::size_t ready, Timestamp now);

    /// Orders to send now: new ones, and unanswered ones unchanged.
    std::vector<EndpointOrder> decide(Timestamp now);

    /// The platform answered the order; it is not sent again.
    void answered(const std::string &orderId);

    /// Replicas ordered and not yet serving.
    std::size_t pending(const std::string &zone) const;

private:
    struct Zone {
        std::deque<double> demand;
        std::size_t ready = 0;
        std::size_t pending = 0;
        std::size_t stopping = 0;
        std::size_t least = 0;
        std::size_t most = 0;
        Timestamp lastProgress;
        std::optional<Timestamp> lowSince;
        Timestamp failingUntil;
        std::optional<EndpointOrder> unanswered;
    };

    Zone &zoneNamed(const std::string &name);
    std::size_t wanted(Zone &zone, double movedDemand, Timestamp now) const;
    void noticeFailure(Zone &zone, Timestamp now) const;
    void order(const std::string &name, Zone &zone, std::size_t target, Timestamp now);

    ScalerSettings m_settings;
    std::uint64_t m_epoch;
    std::uint64_t m_nextNumber = 1;
    std::map<std::string, Zone> m_zones;
};

}
