#pragma once

#include "base/result.h"
#include "base/timestamp.h"
#include "batches/batch.h"
#include "catalog/endpointrecord.h"
#include "forwarding/announcedlimits.h"
#include "http/clientcall.h"
#include "http/httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Basilbend
{

/// Load that an endpoint reports with its responses.
struct EndpointLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// Status and platform header fields of an endpoint's response.
struct EndpointResponseFields {
    int status = 0;
    /// The endpoint reports that it did not run the request, or the request reached another endpoint.
    bool notExecuted = false;
    /// The endpoint's signature of the response; empty if the response was not sent by the endpoint itself.
    std::string signature;
    /// Id of the attempt to which the response belongs; empty if the response does not name it.
    std::string attemptId;
    /// Version of the weights at the start of the response; zero if the response does not name it.
    std::uint64_t weightVersion = 0;
    std::optional<EndpointLoad> load;
    /// See isEndpointLeaving().
    bool isLeaving = false;
    /// What the endpoint says about its limit; empty if the response need not come from it.
    std::optional<RateStatement> rate = std::nullopt;

    bool isSigned() const
    {
        return !signature.empty();
    }
};

EndpointResponseFields decodeResponseFields(const ResponseHead &head);

/// Whether the endpoint to which the request was sent announces that it is about to leave.
bool isEndpointLeaving(const ResponseHead &head);

/// Whether an endpoint's response belongs to the attempt.
ResponseMatch matchAttemptResponse(const ResponseHead &head, const std::string &attemptId);

/// Whether an endpoint's response belongs to a call that names no attempt. One that names an attempt is a late duplicate of the response
/// to an earlier call on the connection.
ResponseMatch matchUnnamedResponse(const ResponseHead &head);

/// Creates the request to an endpoint from a client's request. The client's API key and any workspace that it names are removed.
RequestMessage
makeForwardedRequest(const RequestMessage &message, const std::string &endpointId, const std::string &workspace, std::optional<Milliseconds> remaining);

/// Requests that the stream resumes after the given event.
void setResumePosition(RequestMessage &message, std::uint64_t lastEventId);

/// Start position and required weights of a run of an item.
struct RunStart {
    /// The run resumes after this event; zero: the run starts from the beginning.
    std::uint64_t lastEventId = 0;
    /// The endpoint rejects the run unless its weights have this version; zero: any version.
    std::uint64_t expectedVersion = 0;
};

/// Creates the request that runs an item of a batch at an endpoint.
RequestMessage makeItemRequest(const BatchItem &item, const BatchIndex &batch, const std::string &endpointId, const RunStart &from);

/// Creates the request for scoring a finished text. Limit: time limit for the endpoint's response.
RequestMessage makeRewardRequest(const RewardRequest &reward, const std::string &endpointId, Milliseconds limit);

/// Returns the version from a line of an event that names the version of the weights, or zero for any other line.
std::uint64_t versionOfEventLine(std::string_view line);

/// Treatment of running generations when the weights change.
enum class SwitchMode {
    /// The change waits until they have finished.
    Wait,
    /// They continue with the new version.
    KeepRunning,
};

struct WeightOrder {
    std::string model;
    std::uint64_t version = 0;
    SwitchMode mode = SwitchMode::KeepRunning;
    std::string holder;
    std::uint64_t fencingToken = 0;
    /// Precondition: number of orders that the endpoint has accepted before this one. It makes a delayed copy of this order ineffective.
    std::uint64_t expectedOrders = 0;
};

RequestMessage makeOrderRequest(const WeightOrder &order, const EndpointRecord &endpoint);

/// State reported by an endpoint. It is a few hundred milliseconds old.
struct EndpointState {
    /// Number of orders accepted since the endpoint started.
    std::uint64_t acceptedOrders = 0;
    /// The endpoint is carrying out an order.
    bool isBusy = false;
    std::vector<ServedModel> models;
    std::int64_t startedAtMs = 0;
};

RequestMessage makeStateRequest(const EndpointRecord &endpoint);

/// Creates a request that only this endpoint answers as its own: any other process at the address rejects it. healthPath: path to
/// ask for at an endpoint that serves no model; such a request may wait for a slot.
RequestMessage makeIdentityRequest(const EndpointRecord &endpoint, const std::string &healthPath);

/// Who has answered an identity request.
struct EndpointIdentity {
    /// The request reached another endpoint than the one that it names.
    bool isOther = false;
    /// Empty if the response does not name the endpoint.
    std::string id;
    /// Unix time of the start of the endpoint in milliseconds; zero if the response does not name it.
    std::int64_t startedAtMs = 0;
};

EndpointIdentity decodeIdentity(const ResponseHead &head, std::string_view body);

Result<EndpointState> decodeEndpointState(std::string_view body);

}
