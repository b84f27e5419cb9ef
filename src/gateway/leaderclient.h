#pragma once

#include "base/eventloop.h"
#include "gateway/leaderdirectory.h"
#include "http/webclient.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Basilbend
{

/// A successful response of the leader.
struct LeaderResponse {
    std::string address;
    std::string body;
};

/// Sends requests to the leading scheduler. A leader that does not respond in time, or that no longer leads, is dropped.
class LeaderClient
{
public:
    /// Receives nullopt if the leader is unknown, does not respond in time, does not lead, or responds with another status than 200.
    using Callback = std::function<void(std::optional<LeaderResponse>)>;

    LeaderClient(WebClient &client, EventLoop loop, EventLog &log, MetadataStore &store);

    /// Sends a request; its Host field is added. The callback may be called before send() returns.
    void send(RequestMessage request, Milliseconds timeout, Callback callback);

    /// Like send(), but if the leader is unknown, first waits for its look-up for up to MaxLookUpWait.
    void sendAfterLookUp(RequestMessage request, Milliseconds timeout, Callback callback);

    /// A look-up is one call to the metadata store, which takes some milliseconds.
    static constexpr Milliseconds MaxLookUpWait{150};

private:
    struct Call;

    void handleEnd(const std::shared_ptr<Call> &call, CallOutcome outcome);
    static void complete(const std::shared_ptr<Call> &call, std::optional<LeaderResponse> response);

    WebClient &m_client;
    EventLoop m_loop;
    LeaderDirectory m_leaders;
};

}
