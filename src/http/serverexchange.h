#pragma once

#include "http/httpmessage.h"

#include <functional>
#include <memory>
#include <string>

namespace Basilbend
{

class ServerSession;

/// One request of a client and the response to it. Exactly one of respond(), or beginStream() with endStream() or abort(),
/// ends it. Calls after the client has left do nothing.
class ServerExchange
{
public:
    ServerExchange(std::weak_ptr<ServerSession> session, RequestMessage request);

    const RequestMessage &request() const
    {
        return m_request;
    }

    /// Whether the client is still connected and no response has ended the exchange.
    bool isOpen() const;

    void respond(const ResponseMessage &response);

    /// Starts a chunked response.
    void beginStream(const ResponseHead &head);
    void sendPart(std::string_view data);
    void endStream();

    /// Closes the connection without the end of a response.
    void abort();

    /// Bytes of the response that the client has not taken yet.
    std::size_t pendingBytes() const;

    /// Asks for a close of the connection after this response.
    void closeAfterwards();

    /// Called once when the client leaves before the response has ended.
    std::function<void()> onClientGone;

private:
    friend class ServerSession;

    std::weak_ptr<ServerSession> m_session;
    RequestMessage m_request;
    bool m_ended = false;
    bool m_closeAfterwards = false;
};

}
