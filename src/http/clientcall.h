#pragma once

#include "http/httpmessage.h"

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

/// What the caller is told. None of the hooks is called after cancel(). onEnd is the last one.
struct CallHooks {
    /// Returns whether the response belongs to this call; the responses for which it returns false are skipped. Null: every
    /// response does.
    std::function<bool(const ResponseHead &)> isMine;
    std::function<void(const ResponseHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(CallEnd)> onEnd;
};

}
