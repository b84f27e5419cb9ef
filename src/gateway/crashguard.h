#pragma once

#include "forwarding/crashhistory.h"
#include "forwarding/requestfingerprint.h"
#include "forwarding/trialchoice.h"
#include "gateway/gatewaycontext.h"
#include "http/httpmessage.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// Keeps one live request from crashing more endpoints than needed to tell that it does. See CrashHistory.
class CrashGuard
{
public:
    /// The request must outlive the guard. maxIsolation: how long an endpoint may be reserved for the request.
    CrashGuard(GatewayContext &context, const RequestMessage &request, const std::string &workspace, Milliseconds maxIsolation);
    ~CrashGuard();
    CrashGuard(const CrashGuard &) = delete;
    CrashGuard &operator=(const CrashGuard &) = delete;

    RequestStanding standing();

    /// Chooses the endpoint of a trial and reserves it. Call for a suspected request only.
    TrialChoice chooseTrial(const std::vector<const EndpointRecord *> &endpoints, const std::set<std::string> &excluded);

    /// Finds out whether an endpoint that broke off the request has crashed and records it. run: see CrashedRun. The callback may be
    /// called before the function returns.
    void checkEndpoint(const EndpointRecord &endpoint, CrashedRun run, std::function<void()> callback);

    /// The endpoint has answered the request completely.
    void recordAnswer();

    /// Ends the reservation of the endpoint.
    void endTrial();

private:
    const RequestFingerprint &fingerprint();

    GatewayContext &m_context;
    const RequestMessage &m_request;
    std::string m_workspace;
    std::uint64_t m_attempt;
    Milliseconds m_maxIsolation;
    /// Computed when it is needed first: in calm no request needs one.
    std::optional<RequestFingerprint> m_fingerprint;
    std::optional<Timestamp> m_trialWantedAt;
};

}
