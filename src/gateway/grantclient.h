#pragma once

#include "base/eventloop.h"
#include "catalog/endpointrecord.h"
#include "forwarding/announcedlimits.h"
#include "forwarding/requestgrant.h"
#include "gateway/leaderclient.h"
#include "log/eventlog.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// Asks the leading scheduler for requests to endpoints that name a limit. See GrantServer.
class GrantClient
{
public:
    /// Receives nullopt if the leader is unknown, does not respond in time or does not lead.
    using Callback = std::function<void(std::optional<GrantReply>)>;

    GrantClient(LeaderClient &leader, EventLoop loop, EventLog &log);

    /// Asks for one request to one of the endpoints, the preferred one first. Limits that the leader knows to be over are removed from
    /// the known ones before the callback is called. The callback may be called before ask() returns.
    void ask(const std::vector<const EndpointRecord *> &endpoints, AnnouncedLimits &known, Callback callback);

    /// Tells the leader that a limited endpoint has named no limit in a response. sentAt: when its request was sent.
    void reportUnnamed(const EndpointStart &endpoint, Timestamp sentAt);

    /// Time after which a leader that has not responded is dropped. A leader responds within milliseconds.
    static constexpr Milliseconds ResponseTimeout{250};

private:
    void send(const GrantRequest &request, Callback callback);
    std::optional<GrantReply> decode(const LeaderResponse &response) const;

    LeaderClient &m_leader;
    EventLoop m_loop;
    EventLog &m_log;
};

}
