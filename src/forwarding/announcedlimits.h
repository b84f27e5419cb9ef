#pragma once

#include "base/timestamp.h"
#include "catalog/endpointrecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Basilbend
{

/// What a response says about the rate of requests that its endpoint takes from all processes together.
struct RateStatement {
    enum class Kind {
        /// The response names no limit.
        Unlimited,
        Limited,
        /// The response names a limit that can't be read.
        Unreadable,
    };

    Kind kind = Kind::Unlimited;
    double requestsPerSecond = 0;
};

inline bool operator==(const RateStatement &a, const RateStatement &b)
{
    return a.kind == b.kind && a.requestsPerSecond == b.requestsPerSecond;
}

/// One start of an endpoint. After a restart under the same id it knows nothing of before.
struct EndpointStart {
    std::string id;
    /// See EndpointRecord::startedAtMs.
    std::int64_t startedAtMs = 0;
};

/// A limit that an endpoint has named.
struct AnnouncedLimit {
    double requestsPerSecond = 0;
    /// Time of the last response that named it.
    Timestamp namedAt;
    /// Start of the endpoint that named it; see EndpointRecord::startedAtMs.
    std::int64_t endpointStartedAtMs = 0;
    /// Time of the first request since then whose response named no limit, so that the limit may be over.
    std::optional<Timestamp> unnamedSince = std::nullopt;
};

/// The limits that endpoints name in their responses. A limit holds from the response that names it until none has named it for
/// EndDelay: two responses without it, to requests that were sent later and that far apart, end it. So an endpoint that names its limit
/// in some responses only gets no bursts between them. A response whose limit can't be read changes nothing.
class AnnouncedLimits
{
public:
    /// Records what a response says. sentAt: when its request was sent.
    void record(const EndpointStart &endpoint, const RateStatement &statement, Timestamp sentAt, Timestamp now);

    /// Records a limit that another process has seen, unless a newer one is known.
    void adopt(const std::string &endpoint, const AnnouncedLimit &limit);

    /// Records that a response named no limit. sentAt: when its request was sent.
    void recordUnnamed(const std::string &endpoint, Timestamp sentAt);

    /// Removes a limit that another process knows to be over since the given time, unless it was named again later.
    void end(const std::string &endpoint, Timestamp endedAt);

    /// Forgets the limits that no response has named for this long.
    void removeOlderThan(Milliseconds age, Timestamp now);

    /// The limit in force, if any. An endpoint that has started again has none.
    std::optional<AnnouncedLimit> limitOf(const EndpointRecord &endpoint) const;

    /// Whether a request should be sent to a limited endpoint, although others have no limit, to learn whether its limit still holds.
    /// Returns true at most once in RecheckInterval, and once when EndDelay has passed since a response named no limit.
    bool takeRecheck(const EndpointRecord &endpoint, Timestamp now);

    static constexpr Milliseconds RecheckInterval{3000};
    /// Time between the requests of two responses without a limit that end it.
    static constexpr Milliseconds EndDelay{2000};
    /// Time after which the limit of an endpoint that no response has named is forgotten.
    static constexpr Milliseconds Retention{60000};

private:
    /// The newest limit of an endpoint. One that is over is kept, so that it is not adopted again from a process that still believes in
    /// it.
    struct State {
        AnnouncedLimit limit;
        std::optional<Timestamp> endedAt;
        Timestamp recheckedAt;
    };

    std::map<std::string, State> m_states;
};

}
