#pragma once

#include "catalog/endpointrecord.h"
#include "http/clientcall.h"
#include "platform/endpointcalls.h"

namespace Basilbend
{

/// What the end of a call says about the endpoint's response.
enum class AnswerEnd {
    /// The outcome of the call is final.
    Final,
    /// The response has no length and its connection closed in order. It is whole if the endpoint still runs, because a process that
    /// ends closes all of its connections.
    Unconfirmed,
    /// The response has no length and ends within an event, or by an interruption of its connection.
    Truncated,
};

/// Judges the end of a call. isInsideEvent: the response is a stream of events and its last event is incomplete. notExecuted: the head
/// of the response says that the request did not run, which needs no body.
AnswerEnd judgeAnswerEnd(CallOutcome outcome, bool isInsideEvent, bool notExecuted);

/// Whether the process that answered is the start of the endpoint that the record names. An answer that names neither its id nor
/// its start comes from it, unless the process says that it is another one.
bool isSameStart(const EndpointIdentity &identity, const EndpointRecord &endpoint);

}
