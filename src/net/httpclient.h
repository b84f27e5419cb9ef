#pragma once

#include "base/timestamp.h"
#include "net/httpserver.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Basilbend
{

/// A request to send. The host of the URL is an IP address with a port.
struct HttpClientRequest {
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;

    /// Timeout for the whole exchange; zero disables it.
    Milliseconds timeout{0};

    /// Idle timeout: the exchange fails with TransportFailure::Silent if no byte arrives for this long; zero disables it.
    Milliseconds silenceTimeout{0};

    /// Opens a new connection for this request and closes it afterwards. Used for non-idempotent requests and after a
    /// connection went silent.
    bool freshConnection = false;

    /// Sets SO_LINGER to zero and TCP_USER_TIMEOUT to 3 s, so that no byte is delivered after this process has ended. Implies a new
    /// connection.
    bool abortiveClose = false;
};

/// Reason why an exchange failed; None if it succeeded.
enum class TransportFailure {
    None,
    ConnectionRefused,
    ConnectFailed,
    TimedOut,
    Silent,
    ConnectionLost,
    Cancelled,
};

struct HttpClientResponse {
    TransportFailure failure = TransportFailure::None;
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// Asynchronous HTTP client with one thread. Callbacks run on that thread and must not block.
class HttpClient
{
public:
    using DoneCallback = std::function<void(HttpClientResponse)>;
    /// Receives each part of the body as it arrives; the body of the final response is then empty.
    using DataCallback = std::function<void(int status, std::string_view data)>;

    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts an exchange and returns its number for cancel(). The done callback is called exactly once.
    std::uint64_t send(HttpClientRequest request, DoneCallback done, DataCallback data = nullptr);

    /// Ends the exchange with TransportFailure::Cancelled; has no effect if it has already ended.
    void cancel(std::uint64_t exchange);

    /// Sends the request and blocks until the exchange ends. For tools and tests; must not be called on a traffic or control thread.
    HttpClientResponse sendAndWait(HttpClientRequest request);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
