#include "scheduling/itemrun.h"

#include "http/socketoptions.h"

namespace Basilbend
{

namespace
{

constexpr Milliseconds ConnectTimeout{300};

}

ItemRun::ItemRun(WebClient &client, EventLoop loop, const EndpointRecord &endpoint, std::uint64_t fallbackVersion, ItemRunHooks hooks)
    : m_client(client)
    , m_loop(std::move(loop))
    , m_endpoint(endpoint)
    , m_version(fallbackVersion)
    , m_hooks(std::move(hooks))
    , m_startedAt(m_loop.now())
    , m_lastProgress(m_startedAt)
{
}

void ItemRun::start(const BatchItem &item, const BatchIndex &batch, const RunStart &from)
{
    m_itemId = item.id;
    CallHooks hooks;
    hooks.owner = [this](const ResponseHead &head) { return ownerOf(head, m_itemId); };
    hooks.onHead = [this](const ResponseHead &head) { acceptHead(head); };
    hooks.onBody = [this](std::string_view data) { acceptBody(data); };
    hooks.onEnd = [this](CallEnd end) { acceptEnd(end); };
    m_call = m_client.send(socketEndpoint(m_endpoint.address), makeItemRequest(item, batch, m_endpoint.id, from), std::move(hooks), ConnectTimeout);
}

void ItemRun::acceptBody(std::string_view data)
{
    if (!m_events || m_useless || m_events->feed(data)) {
        return;
    }
    m_useless = true;
    // The hook destroys this run, so it is called from the loop.
    m_loop.runAfter(Milliseconds(0), [onEnd = m_hooks.onEnd, status = m_evidence.status] { onEnd(RunEnd::Oversized, status); });
}

void ItemRun::acceptHead(const ResponseHead &head)
{
    m_lastProgress = m_loop.now();
    m_evidence = decodeResponseFields(head);
    if (m_evidence.isLeaving && m_hooks.onLeaving) {
        m_hooks.onLeaving();
    }
    if (m_evidence.weightVersion > 0) {
        m_version = m_evidence.weightVersion;
    }
    if (head.status == 200 && m_evidence.isSigned()) {
        m_events = std::make_unique<EventStream>([this](const StreamEvent &event) { acceptEvent(event); });
    }
}

void ItemRun::acceptEvent(const StreamEvent &event)
{
    for (const auto &line : event.otherLines) {
        const auto version = versionOfEventLine(line);
        m_version = version > 0 ? version : m_version;
    }
    m_lastProgress = m_loop.now();
    if (!m_useless) {
        m_useless = !event.hasId || !m_hooks.onEvent(event.id, event.data, m_version);
    }
}

void ItemRun::acceptEnd(CallEnd end)
{
    // The hook may destroy this run.
    const auto onEnd = m_hooks.onEnd;
    onEnd(m_useless ? RunEnd::Broken : classify(end), m_evidence.status);
}

RunEnd ItemRun::classify(CallEnd end) const
{
    if (end == CallEnd::NotConnected) {
        return RunEnd::NotConnected;
    }
    if (end != CallEnd::Complete || (m_evidence.status == 200 && !m_events)) {
        return RunEnd::Broken;
    }
    if (m_evidence.notExecuted) {
        return RunEnd::Refused;
    }
    switch (m_evidence.status) {
    case 200:
        return RunEnd::Complete;
    case 422:
        return RunEnd::Unprocessable;
    case 500:
    case 504:
        return RunEnd::ServerError;
    default:
        return RunEnd::Broken;
    }
}

}
