#pragma once

#include "base/timestamp.h"
#include "http/httpmessage.h"

#include <optional>
#include <string>

namespace Basilbend
{

/// What a client asks of this system.
enum class ClientAction {
    /// Run the request at an endpoint, or accept the batch: the route decides.
    Submit,
    ReadResults,
    ReadItem,
    EndBatch,
};

/// What the system reads from a client's request.
struct ClientRequest {
    ClientAction action = ClientAction::Submit;
    std::string host;
    std::string path;
    /// Identifies one attempt of the client; for a batch, the batch.
    std::string attemptId;
    std::string apiKey;
    /// How long the client waits; nothing when it did not say.
    std::optional<Milliseconds> deadline;
    /// Reads of results and items.
    std::string batchId;
    std::string itemId;
    std::size_t afterPosition = 0;
    /// How long a read may wait for a result.
    Milliseconds wait{0};
};

ClientRequest decodeClientRequest(const RequestMessage &message);

/// Whether the target asks for the readiness of the process.
bool isReadinessRequest(const RequestMessage &message);

/// The header field with the time to come back, for example "0.25" seconds.
HttpField retryAfterField(Milliseconds span);

/// The field that repeats a client's attempt id in an answer.
HttpField attemptIdField(const std::string &attemptId);

}
