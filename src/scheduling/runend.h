#pragma once

#include <string_view>

namespace Basilbend
{

/// How a run of an item at an endpoint ended.
enum class RunEnd {
    /// The last event has been received.
    Complete,
    /// The endpoint ran the item and failed (500).
    ServerError,
    /// The endpoint stopped at the time limit that the item's header fields name (504). Another run continues its text.
    TimedOut,
    /// The endpoint can never run the item.
    Unprocessable,
    /// The endpoint refused the item and did not run it.
    Refused,
    /// No connection to the endpoint.
    NotConnected,
    /// The stream was interrupted or is not an event stream.
    Broken,
    /// The stream contains a line or an event that exceeds the size limit.
    Oversized,
};

/// Name for logs and metrics.
std::string_view runEndName(RunEnd end);

}
