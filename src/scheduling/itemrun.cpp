#include "scheduling/itemrun.h"

#include "forwarding/answerend.h"
#include "http/socketoptions.h"

namespace Basilbend
{

namespace
{

constexpr Milliseconds ConnectTimeout{300};
/// Limit on the body of a response that is no stream of events; such a body is not used.
constexpr std::size_t MaxIgnoredBytes = 1024 * 1024;

}

ItemRun::ItemRun(WebClient &client, EventLoop loop, const EndpointRecord &endpoint, std::uint64_t fallbackVersion, ItemRunHooks hooks)
    : m_client(client)
    , m_loop(std::move(loop))
    , m_endpoint(endpoint)
    , m_weightVersion(fallbackVersion)
    , m_hooks(std::move(hooks))
    , m_startedAt(m_loop.now())
    , m_lastProgressAt(m_startedAt)
{
}

void ItemRun::start(const BatchItem &item, const BatchIndex &batch, const RunStart &from, ConnectionHistory &connections)
{
    m_itemId = item.id;
    CallHooks hooks;
    hooks.matchResponse = [this](const ResponseHead &head) { return matchAttemptResponse(head, m_itemId); };
    hooks.onHead = [this](const ResponseHead &head) { acceptHead(head); };
    hooks.onBody = [this](std::string_view data) { acceptBody(data); };
    hooks.onEnd = [this](CallOutcome outcome) { acceptEnd(outcome); };
    const auto request = makeItemRequest(item, batch, m_endpoint.id, from);
    m_call = m_client.sendAgain(parseSocketEndpoint(m_endpoint.address), request, std::move(hooks), ConnectTimeout, connections);
}

void ItemRun::acceptBody(std::string_view data)
{
    if (m_isAbandoned) {
        return;
    }
    m_ignoredBytes += m_events ? 0 : data.size();
    const bool isBounded = m_events ? m_events->feed(data) : m_ignoredBytes <= MaxIgnoredBytes;
    if (isBounded) {
        return;
    }
    m_isAbandoned = true;
    // The hook destroys this run, so it is called from the event loop.
    m_loop.runAfter(Milliseconds(0), [onEnd = m_hooks.onEnd, status = m_responseFields.status] { onEnd(RunEnd::Oversized, status); });
}

void ItemRun::acceptHead(const ResponseHead &head)
{
    m_lastProgressAt = m_loop.now();
    m_responseFields = decodeResponseFields(head);
    if (m_responseFields.isLeaving && m_hooks.onEndpointLeaving) {
        m_hooks.onEndpointLeaving();
    }
    if (m_responseFields.rate && m_hooks.onRateStated) {
        m_hooks.onRateStated(*m_responseFields.rate);
    }
    if (m_responseFields.weightVersion > 0) {
        m_weightVersion = m_responseFields.weightVersion;
    }
    if (head.status == 200 && m_responseFields.isSigned()) {
        m_events = std::make_unique<EventStreamParser>([this](const StreamEvent &event) { acceptEvent(event); });
    }
}

void ItemRun::acceptEvent(const StreamEvent &event)
{
    for (const auto &line : event.otherLines) {
        const auto version = versionOfEventLine(line);
        m_weightVersion = version > 0 ? version : m_weightVersion;
    }
    m_lastProgressAt = m_loop.now();
    if (!m_isAbandoned) {
        m_isAbandoned = !event.hasId || !m_hooks.onEvent(event.id, event.data, m_weightVersion);
    }
}

void ItemRun::acceptEnd(CallOutcome outcome)
{
    const bool isInsideEvent = m_events && m_events->isInsideEvent();
    switch (judgeAnswerEnd(outcome, isInsideEvent, m_responseFields.notExecuted)) {
    case AnswerEnd::Final:
        finish(outcome);
        break;
    case AnswerEnd::Truncated:
        finish(CallOutcome::Broken);
        break;
    case AnswerEnd::Unconfirmed:
        confirmEnd();
        break;
    }
}

void ItemRun::confirmEnd()
{
    m_lastProgressAt = m_loop.now();
    m_check = std::make_unique<IdentityCheck>(m_client, m_loop, m_endpoint, std::string());
    m_check->start([this](bool isSame) { finish(isSame ? CallOutcome::Complete : CallOutcome::Broken); });
}

void ItemRun::finish(CallOutcome outcome)
{
    // Copied because the hook may destroy this run.
    const auto onEnd = m_hooks.onEnd;
    onEnd(m_isAbandoned ? RunEnd::Broken : classify(outcome), m_responseFields.status);
}

RunEnd ItemRun::classify(CallOutcome outcome) const
{
    if (outcome == CallOutcome::NotConnected) {
        return RunEnd::NotConnected;
    }
    if (hasUsableHead(outcome) && m_responseFields.notExecuted) {
        return RunEnd::Refused;
    }
    if (outcome != CallOutcome::Complete || (m_responseFields.status == 200 && !m_events)) {
        return RunEnd::Broken;
    }
    switch (m_responseFields.status) {
    case 200:
        return RunEnd::Complete;
    case 422:
        return RunEnd::Unprocessable;
    case 500:
        return RunEnd::ServerError;
    case 504:
        return RunEnd::TimedOut;
    default:
        return RunEnd::Broken;
    }
}

}
