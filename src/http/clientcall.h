#pragma once

#include "http/httpmessage.h"

#include <cstddef>
#include <functional>
#include <string_view>

namespace Basilbend
{

/// The outcome of a call to another server.
enum class CallOutcome {
    /// The whole response has arrived, as its length or its last chunk shows.
    Complete,
    /// A response without a length has ended with an orderly close of its connection. It is whole only if the server meant to end it:
    /// the system closes the connections of a process that is killed in the same way.
    Unframed,
    /// A response without a length has ended by a reset of its connection, or before the whole request was sent. Only its head is whole:
    /// a server that ends a connection within the request ends it in the same way whether or not it has sent all of its response.
    Interrupted,
    /// The connection could not be established; nothing was sent.
    NotConnected,
    /// The connection closed before the first byte of a response. The server may have run the request.
    ClosedUnanswered,
    /// The response was truncated or is not valid HTTP. The server may have run the request.
    Broken,
};

/// Whether the call has ended with a response of which at least the head can be used. That is enough where the body does not count.
bool hasUsableHead(CallOutcome outcome);

/// The name of an outcome in log lines.
std::string_view callOutcomeName(CallOutcome outcome);

/// Whether a response that arrived on a call's connection belongs to that call.
enum class ResponseMatch {
    /// The response identifies this call.
    ThisCall,
    /// The response identifies another call and is skipped. A server may send a duplicate of an earlier response late.
    OtherCall,
    /// The response identifies no call. On a connection that has carried another call it may be a late duplicate of that call's
    /// response, so it ends this call as broken.
    Unidentified,
};

/// Callbacks of a call. None of them is called after cancel(), and none after onEnd.
struct CallHooks {
    /// Matches a response to the call. Null when the server identifies no calls: every response is then treated as this call's.
    std::function<ResponseMatch(const ResponseHead &)> matchResponse;
    std::function<void(const ResponseHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(CallOutcome)> onEnd;
    /// Maximum size of the response body in bytes; a longer body ends the call as broken. Zero: the caller bounds what it stores.
    std::size_t maxBodyBytes = 0;
};

}
