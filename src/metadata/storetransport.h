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

/// The answer of the metadata store to one call, or how the call failed.
struct StoreResponse {
    /// Complete, or the kind of failure. A call that is not answered within its timeout is ClosedUnanswered.
    CallOutcome outcome = CallOutcome::ClosedUnanswered;
    int status = 0;
    std::string body;
    /// For relayed calls, the status with which the store answered the peer.
    int relayedStatus = 0;

    /// Whether the store certainly did not execute the call: there was no connection, or the store answered 429 or 503.
    bool isRefusal() const
    {
        return outcome == CallOutcome::NotConnected || (outcome == CallOutcome::Complete && (status == 429 || status == 503));
    }

    /// Whether the store answered the call and did not refuse it.
    bool isAnswer() const
    {
        return outcome == CallOutcome::Complete && !isRefusal();
    }
};

/// One call to the store.
struct StoreRequest {
    RequestMessage message;
    Milliseconds timeout{0};
    /// Executing the call twice has the same effect as executing it once.
    bool isIdempotent = true;
};

/// Response header in which a peer passes on the status of the store.
inline constexpr const char *RelayStatusField = "Relay-Status";

/// Sends calls to the metadata store.
class StoreTransport
{
public:
    using Callback = std::function<void(StoreResponse)>;

    virtual ~StoreTransport() = default;

    /// Sends a call. The callback never runs before send() returns.
    virtual void send(const StoreRequest &request, Callback callback) = 0;

    /// Ends all open calls as unanswered, because their connections are known to be dead.
    virtual void abortCalls() = 0;
};

/// Sends calls to one server. A connection on which an answer is overdue is not reused.
class DirectTransport : public StoreTransport
{
public:
    DirectTransport(WebClient &client, EventLoop loop, asio::ip::tcp::endpoint server);
    ~DirectTransport() override;

    void send(const StoreRequest &request, Callback callback) override;
    void abortCalls() override;

    /// Ends the open calls that may be sent again, as unanswered. Returns their number.
    std::size_t abortIdempotentCalls();

    /// The address of the server as "IP:PORT".
    const std::string &address() const
    {
        return m_hostHeader;
    }

private:
    struct OpenCall;

    void finish(const std::shared_ptr<OpenCall> &open, CallOutcome outcome);

    WebClient &m_client;
    EventLoop m_loop;
    asio::ip::tcp::endpoint m_server;
    std::string m_hostHeader;
    std::set<std::shared_ptr<OpenCall>> m_openCalls;
};

}
