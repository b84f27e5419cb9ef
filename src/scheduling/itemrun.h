#pragma once

#include "base/eventloop.h"
#include "batches/batch.h"
#include "catalog/endpointrecord.h"
#include "endpoints/identitycheck.h"
#include "http/eventstreamparser.h"
#include "http/webclient.h"
#include "platform/endpointcalls.h"
#include "scheduling/runend.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Basilbend
{

struct ItemRunHooks {
    /// Called with the id and data of an event and the weight version that generated it. Returns false if the run must be
    /// abandoned.
    std::function<bool(std::uint64_t id, std::string data, std::uint64_t version)> onEvent;
    std::function<void(RunEnd, int status)> onEnd;
    /// Called when the endpoint announces that it is about to leave. May be null.
    std::function<void()> onEndpointLeaving = nullptr;
    /// Called with what the endpoint says about its limit. May be null.
    std::function<void(const RateStatement &)> onRateStated = nullptr;
};

/// A run of one item at one endpoint. Destroying it cancels the run: the connection closes and the endpoint stops
/// generating.
class ItemRun
{
public:
    /// fallbackVersion: the weight version assumed for responses that do not name one.
    ItemRun(WebClient &client, EventLoop loop, const EndpointRecord &endpoint, std::uint64_t fallbackVersion, ItemRunHooks hooks);

    /// Sends the item to the endpoint; the hooks report the events and the end of the run.
    /// connections: those of earlier runs of the item; the one of this run is added.
    void start(const BatchItem &item, const BatchIndex &batch, const RunStart &from, ConnectionHistory &connections);

    const EndpointRecord &endpoint() const
    {
        return m_endpoint;
    }

    Timestamp startedAt() const
    {
        return m_startedAt;
    }

    /// Time of the last complete event, of the response head, or of the start. Other bytes are not progress.
    Timestamp lastProgressAt() const
    {
        return m_lastProgressAt;
    }

private:
    void acceptHead(const ResponseHead &head);
    void acceptBody(std::string_view data);
    void acceptEvent(const StreamEvent &event);
    void acceptEnd(CallOutcome outcome);
    void confirmEnd();
    void finish(CallOutcome outcome);
    RunEnd classify(CallOutcome outcome) const;

    WebClient &m_client;
    EventLoop m_loop;
    EndpointRecord m_endpoint;
    std::uint64_t m_weightVersion;
    ItemRunHooks m_hooks;
    std::string m_itemId;
    std::unique_ptr<EventStreamParser> m_events;
    EndpointResponseFields m_responseFields;
    bool m_isAbandoned = false;
    std::size_t m_ignoredBytes = 0;
    Timestamp m_startedAt;
    Timestamp m_lastProgressAt;
    ClientCall m_call;
    /// Set while it is found out whether the endpoint meant to end its response.
    std::unique_ptr<IdentityCheck> m_check;
};

}
