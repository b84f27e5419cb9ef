#pragma once

#include "entry/runport.h"
#include "limits/retrybudget.h"
#include "net/endpointreport.h"
#include "routing/router.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Basilbend
{

/// The endpoints that sidecars reported to this entry, with the router's choice among them. Any thread.
class EndpointDirectory
{
public:
    EndpointDirectory(const std::string &zone, RouterSettings settings, Random random, Milliseconds forgetAfter);

    void apply(const EndpointReport &report, Timestamp now);
    Result<ChosenEndpoint> choose(const RunRequest &request, const std::set<std::string> &exclude, Timestamp now);
    void started(const std::string &node);
    void ended(const std::string &node);
    void unreachable(const std::string &node);
    void observeSpeed(const std::string &node, double msPerToken);
    void firstAttempt(const std::string &target);
    bool takeRetry(const std::string &target);
    Milliseconds shortestWait(const std::string &target) const;

    /// Once a second.
    void tick(Timestamp now);

    /// Policies that at least one endpoint serves.
    std::vector<std::string> policies() const;

    /// The last report of each endpoint.
    std::vector<EndpointReport> reports() const;

private:
    struct Known {
        EndpointReport report;
        Timestamp at;
    };

    Milliseconds m_forgetAfter;
    mutable std::mutex m_mutex;
    Router m_router;
    RetryBudget m_retries;
    std::map<std::string, Known> m_known;
};

}
