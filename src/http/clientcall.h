#pragma once

#include "http/httpmessage.h"

#include <cstddef>
#include <functional>
#include <string_view>

namespace Basilbend
{

/// How a call to another server ended.
enum class CallEnd {
    /// The whole response has arrived.
    Complete,
    /// No connection came about; nothing was sent.
    NotConnected,
    /// The connection ended before the first byte of a response. The server may have run the request.
    ClosedUnanswered,
    /// The response was cut or is no HTTP. The server may have run the request.
    Broken,
};

/// A word for log lines.
std::string_view callEndName(CallEnd end);

/// Whose response it is that has arrived on a call's connection.
enum class ResponseOwner {
    /// It names this call.
    Mine,
    /// It names another call and is skipped. A server may send a second copy of an answer late.
    Other,
    /// It names no call. On a connection that has carried another call it may be a late copy of that one's answer, and ends the
    /// call as broken.
    Unnamed,
};

/// What the caller is told. None of the hooks is called after cancel(). onEnd is the last one.
struct CallHooks {
    /// Null: every response is taken for this call's, because the server names none.
    std::function<ResponseOwner(const ResponseHead &)> owner;
    std::function<void(const ResponseHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(CallEnd)> onEnd;
    /// A longer body ends the call as broken; zero: the caller bounds what it keeps.
    std::size_t maxBodyBytes = 0;
};

}
