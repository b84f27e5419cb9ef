#pragma once

#include "limits/overloadguard.h"
#include "net/httpserver.h"
#include "routing/router.h"

#include <cstdint>
#include <string>

namespace Basilbend
{

/// When sidecars join the deltas of a stream, see EntryHub::joinDeltas().
struct DeltaJoining {
    /// Twice the open requests of a peak with answers of 2.5 s.
    std::size_t fromRequests = 400;
    /// Open requests above it that add a millisecond each.
    std::size_t requestsPerMs = 17;
    Milliseconds longest{100};
};

struct EntrySettings {
    std::string node = "entry";
    std::string zone = "zone";
    std::string region = "region";

    /// The callers' and operators' address; port 0 takes a free one.
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t serverThreads = 1;

    /// The address for messages between our processes, which the load balancer must not expose.
    std::string internalAddress = "127.0.0.1";
    std::uint16_t internalPort = 0;

    HttpLimits limits;
    RouterSettings router;
    OverloadSettings overload;
    DeltaJoining joining;

    /// Deadline of requests that name none.
    Milliseconds defaultDeadline{600000};
    Milliseconds longestDeadline{3600000};

    /// How long a request under way waits when no endpoint is left; about the time that an engine takes to restart.
    Milliseconds endpointWait{5000};

    /// Tokens generated at most for requests that name no limit.
    std::uint64_t defaultMaxTokens = 4096;

    /// Period of the comments that keep a caller's stream alive.
    Milliseconds keepAlivePeriod{1000};

    /// A sidecar's stream without any line for this long is taken for cut.
    Milliseconds silenceTimeout{3000};

    /// Bytes that a caller may leave untaken before its stream is ended.
    std::size_t maxPendingBytes = 1024 * 1024;

    /// An endpoint that sent no report for this long is forgotten.
    Milliseconds forgetEndpointAfter{30000};
};

}
