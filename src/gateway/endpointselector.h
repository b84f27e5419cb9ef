#pragma once

#include "forwarding/attemptchoice.h"
#include "gateway/callrejection.h"
#include "gateway/crashguard.h"
#include "gateway/gatewaycontext.h"
#include "gateway/streamversion.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

struct EndpointSelectorHooks {
    /// Keeps the call alive while an answer or a timer is outstanding.
    std::function<std::shared_ptr<void>()> keepAlive;
    /// Whether the call needs no endpoint now, because it has ended or an endpoint has been selected that is not used yet.
    std::function<bool()> isSettled;
    std::function<AttemptCounts()> attempts;
    /// isIsolated: nothing else runs at the endpoint.
    std::function<void(const EndpointRecord &, bool isIsolated)> onSelected;
    std::function<void(const CallRejection &)> onRejected;
};

/// Selects the endpoint for each attempt of one live call: among those that may receive it now, by the crashes under it, by the limits
/// that endpoints name, and by free capacity. It waits where an endpoint may soon be free, and rejects the call where none can
/// serve it.
class EndpointSelector
{
public:
    /// The references must outlive the selector.
    EndpointSelector(GatewayContext &context,
                     const RouteRule &route,
                     const std::string &workspace,
                     CrashGuard &crashGuard,
                     StreamVersion &streamVersion,
                     EndpointSelectorHooks hooks);

    void setService(const std::string &service)
    {
        m_service = service;
    }

    /// Selects an endpoint for the next attempt, at once or after a wait, or rejects the call.
    void select();

    /// Returns an endpoint for an attempt beside one that is slow to answer, or null.
    const EndpointRecord *selectForHedge() const;

    /// Records that an attempt is sent to an endpoint, which is then left out until all others were tried.
    void recordSent(const std::string &endpoint);

private:
    void selectRegular();
    /// Selects for a request that is suspected of crashing endpoints.
    void selectForTrial(const std::vector<const EndpointRecord *> &endpoints);
    /// Endpoints that may receive the request now. Those that warm up are among them only when there is no other.
    AttemptCandidates candidates() const;
    /// Asks the leader for a request to one of the endpoints, which name limits.
    void askForGrant(const std::vector<const EndpointRecord *> &endpoints);
    void acceptGrantReply(const std::optional<GrantReply> &reply);
    void waitForCapacity();
    void waitForTrial();
    void rejectWithoutEndpoint();
    void rejectLimited(Milliseconds retryAfter);
    /// Rejects a request that endpoints may not run now, because others have crashed under it.
    void rejectSuspect(Milliseconds retryAfter);

    GatewayContext &m_context;
    const RouteRule &m_route;
    const std::string &m_workspace;
    CrashGuard &m_crashGuard;
    StreamVersion &m_streamVersion;
    EndpointSelectorHooks m_hooks;
    std::string m_service;
    Timestamp m_startedAt;
    std::set<std::string> m_excludedEndpoints;
    bool m_isWaitingForCapacity = false;
    bool m_isWaitingForGrant = false;
    /// Retry-After of the leader's denial, until the next attempt is sent.
    std::optional<Milliseconds> m_grantDenial;
};

}
