#pragma once

#include "base/timestamp.h"
#include "http/httpmessage.h"

#include <optional>
#include <string>

namespace Basilbend
{

/// Kind of a client's request.
enum class ClientAction {
    /// Runs the request at an endpoint or accepts a batch, depending on the kind of the route.
    Submit,
    ReadResults,
    ReadItem,
    EndBatch,
};

/// The fields of a client's request that this system evaluates.
struct ClientRequest {
    ClientAction action = ClientAction::Submit;
    std::string host;
    std::string path;
    /// Id of one attempt of the client; for a submitted batch, the id of the batch.
    std::string attemptId;
    std::string apiKey;
    /// The client takes up a stream after this event; zero: the stream begins.
    std::uint64_t lastEventId = 0;
    /// Id of the attempt that brought the first event of that stream; empty if the client names none.
    std::string resumedAttemptId;
    /// Time for which the client waits for the response, if it sent one.
    std::optional<Milliseconds> deadline;
    /// Id of the batch to read from or to end. Set if the action is ReadResults, ReadItem or EndBatch.
    std::string batchId;
    /// Id of the item to read; used only if the action is ReadItem.
    std::string itemId;
    std::size_t afterPosition = 0;
    /// Maximum time for which a read waits for a result.
    Milliseconds wait{0};
};

ClientRequest decodeClientRequest(const RequestMessage &message);

/// Whether the request is a readiness probe.
bool isReadinessRequest(const RequestMessage &message);

/// Returns a Retry-After field with the time in seconds, for example "0.25".
HttpField retryAfterField(Milliseconds span);

/// Returns the header field that repeats the client's attempt id in a response.
HttpField attemptIdField(const std::string &attemptId);

}
