#pragma once

#include "base/eventloop.h"
#include "batches/batch.h"
#include "catalog/endpointrecord.h"
#include "http/eventstream.h"
#include "http/webclient.h"
#include "platform/endpointcalls.h"
#include "scheduling/runend.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Basilbend
{

struct ItemRunHooks {
    /// An event with its id, its data and the version that generated it. Returns false when the run is of no use.
    std::function<bool(std::uint64_t id, std::string data, std::uint64_t version)> onEvent;
    std::function<void(RunEnd, int status)> onEnd;
    /// The endpoint says that it is about to leave. May be null.
    std::function<void()> onLeaving = nullptr;
};

/// One run of an item at one endpoint. Destroying it cancels the run: the connection closes and the endpoint stops.
class ItemRun
{
public:
    /// FallbackVersion: the version of the endpoint's weights, for answers that do not name one.
    ItemRun(WebClient &client, EventLoop loop, const EndpointRecord &endpoint, std::uint64_t fallbackVersion, ItemRunHooks hooks);

    /// Sends the item to the endpoint; the hooks tell what comes of it.
    void start(const BatchItem &item, const BatchIndex &batch, const RunStart &from);

    const EndpointRecord &endpoint() const
    {
        return m_endpoint;
    }

    Timestamp startedAt() const
    {
        return m_startedAt;
    }

    /// The last whole event, the head of the answer, or the start. Other bytes are no progress.
    Timestamp lastProgress() const
    {
        return m_lastProgress;
    }

private:
    void acceptHead(const ResponseHead &head);
    void acceptBody(std::string_view data);
    void acceptEvent(const StreamEvent &event);
    void acceptEnd(CallEnd end);
    RunEnd classify(CallEnd end) const;

    WebClient &m_client;
    EventLoop m_loop;
    EndpointRecord m_endpoint;
    std::uint64_t m_version;
    ItemRunHooks m_hooks;
    std::string m_itemId;
    std::unique_ptr<EventStream> m_events;
    EndpointResponseFields m_evidence;
    bool m_useless = false;
    Timestamp m_startedAt;
    Timestamp m_lastProgress;
    ClientCall m_call;
};

}
