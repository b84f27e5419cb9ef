#pragma once

#include "base/eventloop.h"
#include "http/webclient.h"

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace Basilbend
{

/// The answer of the metadata store to one call, or its lack.
struct StoreResponse {
    /// Complete, or how the call failed; a call without an answer in time is ClosedUnanswered.
    CallOutcome end = CallOutcome::ClosedUnanswered;
    int status = 0;
    std::string body;
    /// Relayed calls: the status that the store gave to the peer.
    int relayedStatus = 0;

    /// It is certain that the store did nothing: no connection, or the store says so.
    bool isRefusal() const
    {
        return end == CallOutcome::NotConnected || (end == CallOutcome::Complete && (status == 429 || status == 503));
    }

    /// The store has answered the call itself.
    bool isAnswer() const
    {
        return end == CallOutcome::Complete && !isRefusal();
    }
};

/// A call as it goes to the store.
struct StoreRequest {
    RequestMessage message;
    Milliseconds timeout{0};
    /// Doing it twice is the same as doing it once.
    bool isIdempotent = true;
};

/// The response field in which a peer tells the store's status.
inline constexpr const char *RelayStatusField = "Relay-Status";

/// The way of calls to the metadata store.
class StoreTransport
{
public:
    using Callback = std::function<void(StoreResponse)>;

    virtual ~StoreTransport() = default;

    /// Never calls back from within.
    virtual void send(const StoreRequest &request, Callback callback) = 0;

    /// Ends all open calls without an answer, because their connections are known to be dead.
    virtual void abortCalls() = 0;
};

/// Sends calls to one server. A connection on which an answer is missing is not used again.
class DirectTransport : public StoreTransport
{
public:
    DirectTransport(WebClient &client, EventLoop loop, asio::ip::tcp::endpoint server);
    ~DirectTransport() override;

    void send(const StoreRequest &request, Callback callback) override;
    void abortCalls() override;

private:
    struct OpenCall;

    void finish(const std::shared_ptr<OpenCall> &open, CallOutcome end);

    WebClient &m_client;
    EventLoop m_loop;
    asio::ip::tcp::endpoint m_server;
    std::string m_hostHeader;
    std::set<std::shared_ptr<OpenCall>> m_openCalls;
};

}
