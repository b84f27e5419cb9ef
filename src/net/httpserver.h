#pragma once

#include "base/timestamp.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Basilbend
{

/// Header names are in lower case.
using HttpHeaders = std::map<std::string, std::string>;

/// A received request. The path excludes the query; names and values in the query map are percent-decoded.
struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// The query as received, without the question mark.
    std::string rawQuery;
    HttpHeaders headers;
    std::string body;
};

/// A complete response.
struct HttpResponse {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Sends the response to one request: either with respond(), or as a stream with begin(), write() and end(). Thread-safe. The header "Connection: close"
/// closes the connection after the response. Destroying a responder before the response is complete closes the connection, so that the caller never takes
/// a truncated response for a complete one.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    virtual void respond(HttpResponse response) = 0;

    /// Starts a streamed response, chunked if the caller uses HTTP/1.1.
    virtual void begin(int status, const std::string &contentType, const std::vector<std::pair<std::string, std::string>> &headers) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void end() = 0;

    /// Closes the connection immediately unless the response is already complete.
    virtual void abort() = 0;

    /// Returns false once the caller's connection is known to be closed.
    virtual bool isOpen() const = 0;

    /// Returns the number of bytes that were written but not yet accepted by the socket. Writers use it to bound the memory that a
    /// slow reader occupies.
    virtual std::size_t pendingBytes() const = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::unique_ptr<HttpResponder>)>;

/// Limits on connections and received requests.
struct HttpLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    Milliseconds headTimeout{10000};
    std::size_t maxConnections = 2000;
};

/// HTTP/1.1 server with its own traffic threads. Handlers run on those threads and must not block.
class HttpServer
{
public:
    /// Binds the address immediately; port 0 selects a free port. Throws std::system_error if the address can't be bound.
    HttpServer(const std::string &address, std::uint16_t port, std::size_t threads, HttpLimits limits, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const;

    /// Stops accepting new connections; open connections continue.
    void stopAccepting();

    /// Closes all connections and joins the threads.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
