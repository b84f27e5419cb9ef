#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Review
{

/// Fields of a message in the order of their arrival. Names are compared without regard to case.
class Fields
{
public:
    void add(const std::string &name, const std::string &value);
    /// The first value of the field; empty if there is none.
    std::string value(std::string_view name) const;

    const std::vector<std::pair<std::string, std::string>> &all() const
    {
        return m_fields;
    }

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

struct Request {
    std::string method;
    std::string target;
    Fields fields;
    std::string body;

    std::string path() const;
    /// The decoded value of a parameter of the query; empty if there is none.
    std::string query(std::string_view name) const;
};

/// The server's end of one connection.
class Channel
{
public:
    explicit Channel(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /// Reads the next request. Returns false when the client has closed the connection or sent no request.
    bool read(Request &request);
    /// Sends a response with a length.
    bool respond(int status, const Fields &fields, const std::string &body);
    /// Sends the head of a response in chunks.
    bool beginChunks(int status, const Fields &fields);
    bool sendChunk(const std::string &data);
    bool endChunks();
    /// Whether the client has closed its end.
    bool isClosedByClient() const;

private:
    bool fill();
    bool sendAll(std::string_view bytes);

    int m_descriptor;
    std::string m_input;
};

/// Accepts connections at a loopback address, each served by a thread of its own until its client closes it.
class Server
{
public:
    /// Serves a request. The connection is closed when it returns false.
    using Handler = std::function<bool(Channel &, const Request &)>;

    explicit Server(Handler handler);

    std::uint16_t port() const
    {
        return m_port;
    }
    std::string address() const;
    /// Stops listening, so that connections are refused.
    void close();

private:
    void accept();

    Handler m_handler;
    int m_listener = -1;
    std::uint16_t m_port = 0;
};

struct Response {
    /// Zero when there was no whole head.
    int status = 0;
    Fields fields;
    /// The body, as far as it arrived.
    std::string body;
    bool isWhole = false;
};

/// Sends a request on a new connection to a loopback port and waits for the end of the response.
Response call(std::uint16_t port, const Request &request, int timeoutMs);

std::string toBase64(std::string_view bytes);
std::string fromBase64(std::string_view text);

}
