#pragma once

#include "base/random.h"
#include "base/result.h"
#include "routing/endpointtable.h"
#include "routing/outlierdetector.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

struct RouterSettings {
    /// Other zones are considered when the chosen endpoint of the own zone is above this load; 1 is a full engine.
    double spillLoad = 0.9;

    /// The prefix endpoint is used up to this multiple of the mean load.
    double boundedLoad = 1.25;

    Milliseconds slowStart{10000};

    /// Reports older than this fade to the mean.
    Milliseconds freshReport{3000};

    // Each decision can be switched off for comparison.
    bool zonePreference = true;
    bool prefixAffinity = true;
    bool ownCounts = true;
    bool outliers = true;
    bool startSlowly = true;
};

struct RouteRequest {
    std::string policy;

    /// Endpoints with a lower version are not used.
    std::uint64_t minimumVersion = 0;

    /// Endpoints with at least this version are used first.
    std::uint64_t preferredVersion = 0;

    /// Hash of the first blocks of the prompt; zero for none.
    std::uint64_t prefix = 0;

    /// Endpoint that holds most of the prompt in its cache according to the PrefixIndex; empty for none.
    std::string cachedAt;

    /// Endpoints that were tried before.
    std::set<std::string> exclude;
};

/// Chooses an endpoint by the power of two choices on reported load plus the entry's own requests since the report.
class Router
{
public:
    Router(std::string zone, RouterSettings settings, Random random);

    /// Returns the name of the endpoint. NoEndpoint: none serves the policy at that version.
    Result<std::string> choose(const RouteRequest &request, Timestamp now);

    EndpointTable &table();
    const EndpointTable &table() const;
    OutlierDetector &outliers();

    /// Once a second: judges slow endpoints and returns recovered ones to rotation.
    void tick(Timestamp now);

    /// Shortest expected wait over the endpoints of the policy; zero when none is known.
    Milliseconds shortestWait(const std::string &policy) const;

private:
    struct Candidate {
        const EndpointTable::Row *row;
        double load;
    };

    double loadOf(const EndpointTable::Row &row, Timestamp now) const;
    std::vector<Candidate> candidates(const RouteRequest &request, Timestamp now, bool preferredOnly, bool ignoreOutliers) const;
    const Candidate *affine(const RouteRequest &request, const std::vector<Candidate> &candidates) const;
    const Candidate &lighterOfTwo(const std::vector<const Candidate *> &candidates);

    std::string m_zone;
    RouterSettings m_settings;
    Random m_random;
    EndpointTable m_table;
    OutlierDetector m_outliers;
    double m_meanLoad = 0;
};

}
