#include "gateway/livestream.h"

#include <utility>

namespace Basilbend
{

namespace
{

/// Limit of unsent bytes above which the stream of a slow client is aborted.
constexpr std::size_t MaxUnsentBytes = 1024 * 1024;

}

LiveStream::LiveStream(ServerExchange &exchange, AnswerBudget &budget, LiveStreamHooks hooks)
    : m_exchange(exchange)
    , m_budget(budget)
    , m_hooks(std::move(hooks))
{
}

LiveStream::~LiveStream()
{
    m_budget.release(m_unsentBytes);
}

void LiveStream::attach(ResponseHead head)
{
    m_parser = std::make_unique<EventStreamParser>([this](const StreamEvent &event) { forward(event); });
    m_lastProgressAt = m_hooks.now();
    if (std::exchange(m_hasBegun, true)) {
        return;
    }
    head.fields.removeHopByHop();
    m_exchange.beginStream(head);
}

void LiveStream::detach()
{
    m_parser.reset();
}

bool LiveStream::feed(std::string_view data)
{
    return m_parser->feed(data);
}

void LiveStream::forward(const StreamEvent &event)
{
    if (event.hasId && event.id <= m_lastEventId) {
        return;
    }
    m_lastProgressAt = m_hooks.now();
    m_lastEventId = event.hasId ? event.id : m_lastEventId;
    m_hooks.onEvent();
    m_exchange.sendChunk(event.raw);
    if (!reserveUnsent()) {
        m_hooks.onUnread();
    }
}

bool LiveStream::reserveUnsent()
{
    const auto bytes = m_exchange.pendingBytes();
    if (bytes <= m_unsentBytes) {
        m_budget.release(m_unsentBytes - bytes);
    } else if (bytes > MaxUnsentBytes || !m_budget.reserve(m_unsentBytes, bytes - m_unsentBytes)) {
        return false;
    }
    m_unsentBytes = bytes;
    return true;
}

}
