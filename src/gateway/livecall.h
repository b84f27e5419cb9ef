#pragma once

#include "forwarding/attemptrule.h"
#include "gateway/gatewaycontext.h"
#include "http/eventstreamparser.h"
#include "http/serverexchange.h"
#include "platform/clientrequest.h"
#include "platform/endpointcalls.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// One live request on its way: chooses endpoints, tries them under the route's rules, and gives the client one final
/// answer as soon as it is certain.
class LiveCall : public std::enable_shared_from_this<LiveCall>
{
public:
    LiveCall(GatewayContext &context, std::shared_ptr<ServerExchange> exchange, ClientRequest request, RouteRule route, std::string workspace);
    ~LiveCall();
    LiveCall(const LiveCall &) = delete;
    LiveCall &operator=(const LiveCall &) = delete;

    void start();

private:
    /// One try at one endpoint.
    struct Try {
        EndpointRecord endpoint;
        Timestamp sentAt;
        ClientCall call;
        EndpointEvidence evidence;
        ResponseHead head;
        std::string body;
        bool hasHead = false;
        bool ended = false;
    };

    void launch();
    void send(const EndpointRecord &endpoint);
    CallHooks hooksOf(std::size_t index);
    void acceptHead(std::size_t index, const ResponseHead &head);
    void acceptBody(std::size_t index, std::string_view data);
    /// Ends a try whose answer exceeds what may be held.
    void breakTry(std::size_t index, const char *why);
    void acceptEnd(std::size_t index, CallOutcome end);
    void noteEndpoint(const Try &ended, CallOutcome end, TryOutcome outcome);
    void decide(std::size_t index, TryOutcome outcome);
    void waitForRoom();
    void armHedge();
    /// Tries a second endpoint when the first has given no sign for half of the latency target.
    void hedge(std::size_t tries);
    void onTimeout();
    void noteBegan(Timestamp at);

    void passAnswer(Try &answered);
    void refuse(int status, ResultCode code, const std::string &message, Milliseconds retryAfter);
    void finish(const char *outcome, int status);

    bool streams() const;
    void acceptStreamHead(std::size_t index);
    void acceptEvent(const StreamEvent &event);
    void endStreamTry(std::size_t index, CallOutcome end);
    /// Gives up the try that carries the stream when nothing has come for too long.
    void watchSilence(std::size_t index);
    /// Whether another endpoint may run the request after one may have begun it.
    bool mayRunAgain() const;

    Milliseconds timeLeft() const;
    int openTries() const;

    GatewayContext &m_context;
    std::shared_ptr<ServerExchange> m_exchange;
    ClientRequest m_request;
    RouteRule m_route;
    std::string m_workspace;
    std::string m_service;
    Timestamp m_arrivedAt;
    Timestamp m_endsAt;
    std::vector<std::unique_ptr<Try>> m_tries;
    std::set<std::string> m_excluded;
    int m_ranTries = 0;
    bool m_done = false;
    bool m_counted = false;
    bool m_waitingForRoom = false;
    /// Streams: the response to the client has begun.
    bool m_streaming = false;
    std::uint64_t m_lastEventId = 0;
    /// Streams: the last new event, or the head of the answer that carries it.
    Timestamp m_lastProgress;
    /// Bytes of answers that are counted in the budget.
    std::size_t m_heldBytes = 0;
    std::unique_ptr<EventStreamParser> m_events;
};

}
