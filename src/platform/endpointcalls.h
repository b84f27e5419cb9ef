#pragma once

#include "base/result.h"
#include "base/timestamp.h"
#include "batches/batch.h"
#include "catalog/endpointrecord.h"
#include "http/clientcall.h"
#include "http/httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Basilbend
{

/// The load that an endpoint tells with its answers.
struct EndpointLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// What the head of an endpoint's response proves.
struct EndpointResponseFields {
    int status = 0;
    /// The endpoint says that it did not run the request.
    bool notExecuted = false;
    /// The endpoint's signature of its answer; empty: the response is not the endpoint's own.
    std::string signature;
    /// The attempt that the response belongs to; empty when it does not say.
    std::string attemptId;
    /// Version of the weights when the response began; zero when it does not say.
    std::uint64_t weightVersion = 0;
    std::optional<EndpointLoad> load;
    /// The endpoint that was asked says that it is about to leave.
    bool isLeaving = false;

    bool isSigned() const
    {
        return !signature.empty();
    }
};

EndpointResponseFields decodeResponseFields(const ResponseHead &head);

/// Whether the endpoint that was asked says that it is about to leave.
bool isEndpointLeaving(const ResponseHead &head);

/// Whether an endpoint's response belongs to the attempt.
ResponseOwner ownerOf(const ResponseHead &head, const std::string &attemptId);

/// A client's request as the endpoint gets it. The client's key and what it claims of its workspace are removed.
RequestMessage
makeForwardedRequest(const RequestMessage &message, const std::string &endpointId, const std::string &workspace, std::optional<Milliseconds> remaining);

/// Asks a stream to go on behind an event.
void setResumePosition(RequestMessage &message, std::uint64_t lastEventId);

/// Where a run of an item begins, and under which weights.
struct RunStart {
    /// The run goes on behind this event; zero: from the beginning.
    std::uint64_t lastEventId = 0;
    /// The endpoint refuses the run unless its weights have this version; zero: any will do.
    std::uint64_t expectedVersion = 0;
};

/// An item of a batch as the endpoint gets it.
RequestMessage makeItemRequest(const BatchItem &item, const BatchIndex &batch, const std::string &endpointId, const RunStart &from);

/// The request that has a finished text scored. Limit: the time after which the endpoint need not answer any more.
RequestMessage makeRewardRequest(const RewardRequest &reward, const std::string &endpointId, Milliseconds limit);

/// Splits the name of the version line from the data of an event; zero when the line is no version line.
std::uint64_t versionOfEventLine(std::string_view line);

/// How running generations are treated when weights change.
enum class SwitchMode {
    /// They finish first.
    Wait,
    /// They go on under the new version.
    KeepRunning,
};

struct WeightOrder {
    std::string model;
    std::uint64_t version = 0;
    SwitchMode mode = SwitchMode::KeepRunning;
    std::string holder;
    std::uint64_t fencingToken = 0;
    /// How many orders the endpoint must have accepted before; a late copy of this order then does nothing.
    std::uint64_t expectedOrders = 0;
};

RequestMessage makeOrderRequest(const WeightOrder &order, const EndpointRecord &endpoint);

/// The state of an endpoint as it reports it, some hundred milliseconds old.
struct EndpointState {
    /// Orders accepted since its start.
    std::uint64_t orders = 0;
    /// An order is being carried out.
    bool isBusy = false;
    std::vector<ServedModel> models;
    std::int64_t startedAtMs = 0;
};

RequestMessage makeStateRequest(const EndpointRecord &endpoint);
Result<EndpointState> decodeEndpointState(std::string_view body);

}
