#include "sidecar/endpointcaller.h"

#include "sidecar/enginestream.h"

#include <nlohmann/json.hpp>
#include <set>

namespace Basilbend
{

using nlohmann::json;

namespace Internal
{

constexpr Milliseconds OrderTimeout{5000};

HttpHeaders baseHeaders(const AttemptRequest &request, const std::string &traceparent)
{
    return {{"x-request-id", request.requestId}, {"x-workspace", request.workspace}, {"traceparent", traceparent}};
}

std::string engineBody(const AttemptRequest &request)
{
    // Parameters go first, so that none of them can replace a field of ours.
    auto body = json::parse(request.engine.parameters);
    body["request_id"] = request.id.toString();
    body["model"] = request.engine.model;
    body["prompt"] = request.engine.prompt;
    body["stream"] = true;
    body["workspace"] = request.workspace;
    if (request.engine.maxTokens > 0) {
        body["max_tokens"] = request.engine.maxTokens;
    }
    if (!request.engine.resumeText.empty()) {
        body["resume_text"] = request.engine.resumeText;
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

HttpHeaders travellingHeaders(const HttpHeaders &headers)
{
    static const std::set<std::string> hopByHop{"connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade", "date", "server"};
    HttpHeaders forwarded;
    for (const auto &header : headers) {
        if (hopByHop.count(header.first) == 0) {
            forwarded.insert(header);
        }
    }
    return forwarded;
}

Error serviceFailure(const HttpClientResponse &response, bool ownConnection)
{
    const bool refused = response.failure == TransportFailure::ConnectionRefused || response.failure == TransportFailure::ConnectFailed;
    if (refused && ownConnection) {
        return Error{ResultCode::EndpointFailed, "the service can't be reached", Execution::NotRun};
    }
    return Error{ResultCode::EndpointFailed, "the service gave no whole answer", Execution::Unknown};
}

}

EndpointCaller::EndpointCaller(HttpClient &client, std::string url, Callbacks callbacks)
    : m_client(client)
    , m_url(std::move(url))
    , m_callbacks(std::move(callbacks))
{
}

void EndpointCaller::callEngine(const AttemptRequest &request, const std::string &traceparent)
{
    HttpClientRequest call;
    call.method = "POST";
    call.url = m_url + "/v1/completions";
    call.headers = Internal::baseHeaders(request, traceparent);
    call.body = Internal::engineBody(request);
    auto stream = std::make_shared<EngineStream>(request.id.toString());
    const auto id = request.id;
    const auto done = [this, id, stream](const HttpClientResponse &response) {
        if (const auto error = stream->failure(response)) {
            m_callbacks.failed(id, *error);
        }
    };
    m_exchanges[id] = m_client.send(std::move(call), done, [this, id, stream](int status, std::string_view data) {
        for (const auto &chunk : stream->feed(status, data)) {
            m_callbacks.chunk(id, chunk);
        }
    });
}

void EndpointCaller::callService(const AttemptRequest &request, const std::string &traceparent)
{
    HttpClientRequest call;
    call.method = request.service.method;
    call.url = m_url + request.service.target;
    call.headers = request.service.headers;
    for (auto &header : Internal::baseHeaders(request, traceparent)) {
        call.headers[header.first] = std::move(header.second);
    }
    call.body = request.service.body;
    call.timeout = request.timeLeft;
    // libcurl sends a request again when a pooled connection turns out to be closed.
    call.freshConnection = !request.idempotent;
    const bool ownConnection = call.freshConnection;
    const auto id = request.id;
    m_exchanges[id] = m_client.send(std::move(call), [this, id, ownConnection](HttpClientResponse response) {
        if (response.failure == TransportFailure::None) {
            response.headers = Internal::travellingHeaders(response.headers);
            m_callbacks.answer(id, std::move(response));
        } else {
            m_callbacks.failed(id, Internal::serviceFailure(response, ownConnection));
        }
    });
}

void EndpointCaller::cancel(const AttemptId &id, bool isEngine)
{
    const auto it = m_exchanges.find(id);
    if (it != m_exchanges.end()) {
        m_client.cancel(it->second);
        m_exchanges.erase(it);
    }
    if (!isEngine) {
        return;
    }
    HttpClientRequest order;
    order.method = "POST";
    order.url = m_url + "/cancel";
    order.body = json{{"request_id", id.toString()}}.dump();
    order.timeout = Internal::OrderTimeout;
    m_client.send(std::move(order), [this, id](const HttpClientResponse &response) {
        const auto body = json::parse(response.body, nullptr, false);
        const bool told = response.failure == TransportFailure::None && body.is_object() && body.contains("tokens") && body["tokens"].is_number_unsigned();
        m_callbacks.cancelled(id, told ? std::optional(body["tokens"].get<std::uint64_t>()) : std::nullopt);
    });
}

void EndpointCaller::forget(const AttemptId &id)
{
    m_exchanges.erase(id);
}

void EndpointCaller::queryVersion(std::uint64_t query)
{
    HttpClientRequest call;
    call.url = m_url + "/version";
    call.timeout = Internal::OrderTimeout;
    m_client.send(std::move(call), [this, query](const HttpClientResponse &response) {
        const auto body = json::parse(response.body, nullptr, false);
        if (response.failure == TransportFailure::None && body.is_object() && body.contains("version") && body["version"].is_number_unsigned()) {
            m_callbacks.version(query, body["version"].get<std::uint64_t>(), body.value("loading", false));
        } else if (response.failure != TransportFailure::Cancelled) {
            m_callbacks.lost();
        }
    });
}

void EndpointCaller::orderLoad(
    const std::string &policy, std::uint64_t version, const std::string &source, std::uint64_t fencingToken, std::function<void(bool)> done)
{
    HttpClientRequest order;
    order.method = "POST";
    order.url = m_url + "/orders";
    order.body = json{{"kind", "load_version"}, {"policy", policy}, {"version", version}, {"source", source}, {"fencing_token", fencingToken}}.dump();
    order.timeout = Internal::OrderTimeout;
    // The order must not arrive after this process ended.
    order.abortiveClose = true;
    m_client.send(std::move(order), [done = std::move(done)](const HttpClientResponse &response) {
        constexpr int FirstError = 300;
        done(response.failure == TransportFailure::None && response.status < FirstError);
    });
}

}
