#pragma once

#include "base/result.h"
#include "base/timestamp.h"
#include "forwarding/announcedlimits.h"

#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// A limited endpoint that a gateway would send a request to, and what the gateway knows of its limit.
struct GrantCandidate {
    EndpointStart endpoint;
    double requestsPerSecond = 0;
    /// Time since the gateway last saw a response that named the limit.
    Milliseconds age{0};
};

/// A gateway's request for the permission to send one request to one of several endpoints that name a limit, the preferred one first.
/// A limit is the sum over all processes, so the leader spends it.
struct GrantRequest {
    std::vector<GrantCandidate> candidates;
    /// Endpoints that have named no limit in a response; the age is the time since its request was sent.
    std::vector<GrantCandidate> unnamed;
};

/// The leader's answer.
struct GrantReply {
    /// Id of the endpoint that may get the request; empty if none may.
    std::string granted;
    /// Time after which an endpoint can take another request; zero with a grant.
    Milliseconds retryAfter{0};
    /// Ids of candidates that the leader knows to be without limit.
    std::vector<std::string> unlimited;
};

std::string encodeGrantRequest(const GrantRequest &request);
Result<GrantRequest> decodeGrantRequest(std::string_view text);
std::string encodeGrantReply(const GrantReply &reply);
Result<GrantReply> decodeGrantReply(std::string_view text);

}
