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

/// What a sidecar reports about its endpoint every second.
struct LoadReport {
    std::string endpoint;
    std::string zone;

    /// Policy that the engine serves, or route of a plain service.
    std::string policy;

    /// Confirmed weight version; zero for plain services.
    std::uint64_t version = 0;

    /// Requests that the endpoint can run at once.
    std::size_t capacity = 1;
    std::size_t running = 0;
    std::size_t waiting = 0;

    /// FairQueue::competing(); the sum of running and waiting stands for it where it is not reported.
    std::optional<double> competing;

    /// Expected wait of a new request.
    Milliseconds expectedWait{0};

    /// The endpoint takes no new work.
    bool leaving = false;

    /// Requests relative to capacity; 1 is a full engine.
    double load() const;
};

/// The endpoints that an entry knows, with their last reports and the entry's own requests in flight.
class EndpointTable
{
public:
    struct Row {
        LoadReport report;
        Timestamp reportedAt;
        Timestamp firstSeen;

        /// Own requests in flight, and those of them that were sent since the report was taken in.
        std::size_t inFlight = 0;
        std::size_t sentSinceReport = 0;

        /// A connection failed and no report came since.
        bool unreachable = false;
    };

    /// Takes a report in. An endpoint that was unknown or unreachable starts slowly.
    void apply(const LoadReport &report, Timestamp now);
    void remove(const std::string &endpoint);

    /// A connection to the endpoint failed; it is left out until its next report.
    void markUnreachable(const std::string &endpoint);

    /// An endpoint that comes back into rotation starts slowly again.
    void restartSlowly(const std::string &endpoint, Timestamp now);

    void requestStarted(const std::string &endpoint);
    void requestFinished(const std::string &endpoint);

    const std::vector<Row> &rows() const;
    const Row *find(const std::string &endpoint) const;

    /// Mean load over all fresh reports.
    double meanLoad(Timestamp now) const;

private:
    Row *findRow(const std::string &endpoint);

    std::vector<Row> m_rows;
    std::map<std::string, std::size_t> m_index;
};

}
