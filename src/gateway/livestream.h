#pragma once

#include "base/timestamp.h"
#include "gateway/answerbudget.h"
#include "http/eventstreamparser.h"
#include "http/serverexchange.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace Basilbend
{

struct LiveStreamHooks {
    std::function<Timestamp()> now;
    /// Called before an event is sent to the client.
    std::function<void()> onEvent;
    /// Called when the client does not take what has been sent and the limits on unsent bytes are exceeded.
    std::function<void()> onUnread;
};

/// The stream of events that one client receives, joined from the streams of the endpoints that run its request. Each event is sent
/// once, when it is complete.
class LiveStream
{
public:
    /// The exchange and the budget must outlive the stream.
    LiveStream(ServerExchange &exchange, AnswerBudget &budget, LiveStreamHooks hooks);
    ~LiveStream();
    LiveStream(const LiveStream &) = delete;
    LiveStream &operator=(const LiveStream &) = delete;

    /// Begins to read the stream of an endpoint. The first one also begins the response to the client, with this head.
    void attach(ResponseHead head);

    /// Stops reading the stream of an endpoint. The response to the client stays open.
    void detach();

    /// Reads bytes of the endpoint's stream. Returns false if they exceed the limit on an event.
    bool feed(std::string_view data);

    /// Whether the response to the client has begun.
    bool hasBegun() const
    {
        return m_hasBegun;
    }

    /// Whether the stream of an endpoint is being read.
    bool isAttached() const
    {
        return m_parser != nullptr;
    }

    /// Whether the endpoint's stream has ended within an event.
    bool isInsideEvent() const
    {
        return m_parser && m_parser->isInsideEvent();
    }

    /// Id of the last event that was sent to the client; zero if there is none.
    std::uint64_t lastEventId() const
    {
        return m_lastEventId;
    }

    /// Time of the last new event, or of the head of the endpoint's stream.
    Timestamp lastProgressAt() const
    {
        return m_lastProgressAt;
    }

private:
    void forward(const StreamEvent &event);
    /// Reserves the bytes that the client has not taken yet in the budget. Returns false if they exceed a limit.
    bool reserveUnsent();

    ServerExchange &m_exchange;
    AnswerBudget &m_budget;
    LiveStreamHooks m_hooks;
    std::unique_ptr<EventStreamParser> m_parser;
    bool m_hasBegun = false;
    std::uint64_t m_lastEventId = 0;
    Timestamp m_lastProgressAt;
    std::size_t m_unsentBytes = 0;
};

}
