#pragma once

#include <string_view>

namespace Basilbend
{

/// How a run of an item at an endpoint ended.
enum class RunEnd {
    /// The last event has arrived.
    Complete,
    /// The endpoint failed the item (500 or 504); it ran.
    ServerError,
    /// The endpoint can never run the item.
    Unprocessable,
    /// The endpoint refused and did not run it.
    Refused,
    /// No connection.
    NotConnected,
    /// The stream was cut or is no event stream.
    Broken,
    /// The stream holds a line or an event that is larger than any sound one.
    Oversized,
};

/// A word for log lines and metrics.
std::string_view runEndName(RunEnd end);

}
