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

/// A received request. The path has no query; values in the query map are decoded.
struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// The query as received, without the question mark.
    std::string rawQuery;
    HttpHeaders headers;
    std::string body;
};

/// A complete answer.
struct HttpResponse {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

/// The way back to one caller. The header "Connection: close" ends the connection after the answer. All members may be called from any thread. Use either
/// respond(), or begin(), write() and end(). Destroying it without an answer closes the connection, so that a cut answer is never taken for a whole one.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    virtual void respond(HttpResponse response) = 0;

    /// Starts a chunked answer.
    virtual void begin(int status, const std::string &contentType, const std::vector<std::pair<std::string, std::string>> &headers) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void end() = 0;

    /// Closes the connection at once.
    virtual void abort() = 0;

    /// False once the caller's connection is known to be closed.
    virtual bool isOpen() const = 0;

    /// Bytes written but not yet taken by the socket; bounds memory against slow readers.
    virtual std::size_t pendingBytes() const = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::unique_ptr<HttpResponder>)>;

/// Bounds on what a peer may send.
struct HttpLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    Milliseconds headTimeout{10000};
    std::size_t maxConnections = 2000;
};

/// HTTP/1.1 server on traffic threads of its own. Handlers run on those threads and must not block.
class HttpServer
{
public:
    /// Binds at once; port 0 takes a free one. Throws std::system_error when the address can't be bound.
    HttpServer(const std::string &address, std::uint16_t port, std::size_t threads, HttpLimits limits, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const;

    /// Stops taking new connections; open ones live on.
    void stopAccepting();

    /// Closes all connections and joins the threads.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
