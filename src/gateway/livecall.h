#pragma once

#include "forwarding/attemptrule.h"
#include "gateway/attemptrecorder.h"
#include "gateway/callrejection.h"
#include "gateway/crashguard.h"
#include "gateway/endpointselector.h"
#include "gateway/gatewaycontext.h"
#include "gateway/liveattempt.h"
#include "gateway/livestream.h"
#include "gateway/streamversion.h"
#include "http/serverexchange.h"
#include "platform/clientrequest.h"
#include "platform/endpointcalls.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// Runs one live request: attempts the request at the endpoints that its selector chooses, according to the route's rules, and sends the client
/// exactly one response.
class LiveCall : public std::enable_shared_from_this<LiveCall>
{
public:
    LiveCall(GatewayContext &context, std::shared_ptr<ServerExchange> exchange, ClientRequest request, RouteRule route, std::string workspace);
    ~LiveCall();
    LiveCall(const LiveCall &) = delete;
    LiveCall &operator=(const LiveCall &) = delete;

    void start();

    /// Ends the call because the process stops: with a response that says whether the request may have run, or by aborting its stream.
    void endForShutdown();

    /// The time that a request may take: the client's or the route's limit, whichever is shorter.
    static Milliseconds timeLimit(const RouteRule &route, const ClientRequest &request);

private:
    /// Sends the request to an endpoint. isIsolated: nothing else runs there.
    void send(const EndpointRecord &endpoint, bool isIsolated = false);
    void dispatch(const EndpointRecord &endpoint, bool isIsolated);
    /// Records the software version of the endpoint before it may begin the stream, then sends the request.
    void prepareStream(const EndpointRecord &endpoint, bool isIsolated);
    void acceptRecording(const EndpointRecord &endpoint, bool isIsolated, OriginRecording recording);
    CallHooks makeHooks(std::size_t index);
    void handleHead(std::size_t index, const ResponseHead &head);
    void handleBody(std::size_t index, std::string_view data);
    /// Aborts an attempt whose response exceeds the buffer limits. The reason is logged.
    void abortAttempt(std::size_t index, const char *why);
    void handleEnd(std::size_t index, CallOutcome end);
    /// Finds out whether the endpoint meant to end a response without a length.
    void confirmEnd(std::size_t index);
    /// end: neither CallOutcome::Unframed nor CallOutcome::Interrupted, unless the head of the response says that the request did not run.
    void acceptEnd(std::size_t index, CallOutcome end);
    void concludeAttempt(std::size_t index, CallOutcome end);
    void applyRetryDecision(std::size_t index, ForwardOutcome outcome);
    void scheduleHedge();
    /// Starts an attempt at a second endpoint if the first has sent no response head within half of the latency target.
    /// attemptCount: number of attempts when the timer was set.
    void hedge(std::size_t attemptCount);
    void onTimeout();
    /// Whether an endpoint may have started the request.
    bool mayHaveRun() const;
    /// Counts the requests at endpoints that have not answered as usage, since they may have begun.
    void countOpenAttempts();
    void countUsage(Timestamp at);

    void forwardResponse(LiveAttempt &attempt);
    void reject(const CallRejection &rejection);
    void finish(const char *outcome, int status);

    bool isStreamingRoute() const;
    void handleStreamHead(std::size_t index);
    EndpointSelectorHooks selectorHooks();
    LiveStreamHooks streamHooks();
    void handleStreamEnd(std::size_t index, CallOutcome end);
    /// Checks periodically whether the stream makes progress, and ends an attempt that has sent no new event within the stall
    /// timeout.
    void checkStreamProgress(std::size_t index);
    /// Whether another endpoint may run the request after one endpoint may have started it.
    bool isRepeatable() const;

    Milliseconds timeLeft() const;
    int attemptsInProgress() const;
    AttemptCounts counts() const;

    GatewayContext &m_context;
    std::shared_ptr<ServerExchange> m_exchange;
    ClientRequest m_request;
    RouteRule m_route;
    std::string m_workspace;
    std::string m_service;
    CrashGuard m_crashGuard;
    StreamVersion m_streamVersion;
    EndpointSelector m_selector;
    AttemptRecorder m_recorder;
    Timestamp m_arrivedAt;
    Timestamp m_deadline;
    std::vector<std::unique_ptr<LiveAttempt>> m_attempts;
    /// Connections that have carried the request.
    ConnectionHistory m_connections;
    int m_executedAttempts = 0;
    bool m_isFinished = false;
    bool m_isUsageCounted = false;
    bool m_isPreparingStream = false;
    /// Response bytes of this call that are reserved in the buffer budget.
    std::size_t m_bufferedBytes = 0;
    /// Streaming routes: the response to the client.
    LiveStream m_stream;
};

}
