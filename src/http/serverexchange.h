#pragma once

#include "http/httpmessage.h"

#include <functional>
#include <memory>
#include <string>

namespace Basilbend
{

class ServerSession;

/// A request of a client and its response. The exchange ends with respond(), or with beginStream() followed by endStream() or
/// abort(). After the client has disconnected, calls have no effect.
class ServerExchange
{
public:
    ServerExchange(std::weak_ptr<ServerSession> session, RequestMessage request);

    const RequestMessage &request() const
    {
        return m_request;
    }

    /// Whether the client is still connected and the response has not been completed.
    bool isOpen() const;

    void respond(const ResponseMessage &response);

    /// Starts a chunked response.
    void beginStream(const ResponseHead &head);
    void sendChunk(std::string_view data);
    void endStream();

    /// Closes the connection without completing the response.
    void abort();

    /// Ends the exchange after a failure: with the response if nothing has been sent, else by closing the connection.
    void fail(const ResponseMessage &response);

    /// Bytes of the response that have not been written to the socket yet.
    std::size_t pendingBytes() const;

    /// Requests that the connection is closed after this response.
    void closeAfterResponse();

    /// Called once when the client disconnects before the response is complete.
    std::function<void()> onClientDisconnected;

private:
    friend class ServerSession;

    /// Whether the response has no body because the request asks for its head only.
    bool isHeadRequest() const
    {
        return m_request.method == "HEAD";
    }

    std::weak_ptr<ServerSession> m_session;
    RequestMessage m_request;
    bool m_ended = false;
    bool m_hasBegun = false;
    bool m_closeAfterResponse = false;
};

}
