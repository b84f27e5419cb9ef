#pragma once

#include "net/attemptrequest.h"
#include "net/httpclient.h"
#include "sidecar/sidecarcore.h"

#include <map>
#include <optional>

namespace Basilbend
{

/// Calls a model engine or a plain service. The owner serialises all calls with a lock that the callbacks take, too.
class EndpointCaller
{
public:
    /// Run on the HTTP client's thread.
    struct Callbacks {
        std::function<void(const AttemptId &, const EndpointChunk &)> chunk;
        std::function<void(const AttemptId &, HttpClientResponse)> answer;
        std::function<void(const AttemptId &, const Error &)> failed;
        std::function<void(std::uint64_t query, std::uint64_t version, bool loading)> version;
        /// The answer to cancel() for a call to an engine: the tokens that it produced, if it told. Exactly once per cancel().
        std::function<void(const AttemptId &, std::optional<std::uint64_t> producedTokens)> cancelled;
        /// The engine could not be asked for its version.
        std::function<void()> lost;
    };

    EndpointCaller(HttpClient &client, std::string url, Callbacks callbacks);

    void callEngine(const AttemptRequest &request, const std::string &traceparent);
    void callService(const AttemptRequest &request, const std::string &traceparent);
    /// Ends a call. An engine is told, because it goes on producing for a while after its stream was closed.
    void cancel(const AttemptId &id, bool isEngine);

    /// To be called when an attempt's call is over.
    void forget(const AttemptId &id);

    void queryVersion(std::uint64_t query);

    /// Sends an order to load weights; done with false when the engine did not accept it.
    void orderLoad(const std::string &policy, std::uint64_t version, const std::string &source, std::uint64_t fencingToken, std::function<void(bool)> done);

private:
    HttpClient &m_client;
    std::string m_url;
    Callbacks m_callbacks;
    std::map<AttemptId, std::uint64_t> m_exchanges;
};

}
