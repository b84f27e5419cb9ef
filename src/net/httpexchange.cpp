#include "net/httpexchange.h"

#include <http_parser.h>

namespace Basilbend::Internal
{

std::string_view reasonPhrase(int status)
{
    switch (status) {
#define BASILBEND_REASON(code, name, text) \
    case code: \
        return #text;
        HTTP_STATUS_MAP(BASILBEND_REASON)
#undef BASILBEND_REASON
    default:
        return "Unknown";
    }
}

void appendHeader(std::string &head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ");
    for (const char c : value) {
        // Replaces line breaks, which would let a value inject further headers.
        head.push_back(c == '\r' || c == '\n' ? ' ' : c);
    }
    head.append("\r\n");
}

void appendChunk(std::string &to, std::string_view data)
{
    char size[20];
    const auto n = std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    to.append(size, static_cast<std::size_t>(n)).append(data).append("\r\n");
}

/// Output state of one request. Data written while a socket write is in progress is buffered and sent in the next one.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<restinio::asio_ns::io_context> io, restinio::request_handle_t request, std::shared_ptr<ConnectionState> connection)
        : m_ioContext(std::move(io))
        , m_request(std::move(request))
        , m_connectionState(std::move(connection))
        , m_keepAlive(m_request->header().should_keep_alive())
        , m_chunked(m_request->header().http_major() == 1 && m_request->header().http_minor() >= 1)
        , m_isHead(m_request->header().method() == restinio::http_method_head())
    {
        m_keepAlive = m_keepAlive && m_chunked;
    }

    void respond(const HttpResponse &response)
    {
        auto data = responseHead(response.status, response.contentType, response.headers);
        appendHeader(data, "Content-Length", std::to_string(response.body.size()));
        data.append("\r\n");
        if (!m_isHead) {
            data.append(response.body);
        }
        append(data, true);
    }

    void begin(int status, const std::string &contentType, const std::vector<std::pair<std::string, std::string>> &headers)
    {
        auto data = responseHead(status, contentType, headers);
        if (m_chunked) {
            appendHeader(data, "Transfer-Encoding", "chunked");
        }
        data.append("\r\n");
        append(data, m_isHead);
    }

    void write(std::string_view chunk)
    {
        if (chunk.empty()) {
            return;
        }
        if (!m_chunked) {
            append(chunk, false);
            return;
        }
        std::string data;
        appendChunk(data, chunk);
        append(data, false);
    }

    void end()
    {
        append(m_chunked ? "0\r\n\r\n" : "", true);
    }

    void abort()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_complete) {
                return;
            }
            m_complete = true;
            m_buffer.clear();
        }
        // Holds a reference, as closing may release the last other reference to the connection.
        const auto connection = restinio::impl::access_req_connection(*m_request);
        closeConnection(*connection);
    }

    bool isOpen() const
    {
        return m_connectionState->open;
    }

    std::size_t pendingBytes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_buffer.size() + m_inFlight;
    }

private:
    std::string responseHead(int status, const std::string &contentType, const std::vector<std::pair<std::string, std::string>> &headers)
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
        text.append(reasonPhrase(status)).append("\r\n");
        appendHeader(text, "Content-Type", contentType);
        for (const auto &[name, value] : headers) {
            if (name == "Connection") {
                m_keepAlive = m_keepAlive && value != "close";
                continue;
            }
            appendHeader(text, name, value);
        }
        if (!m_keepAlive) {
            appendHeader(text, "Connection", "close");
        }
        return text;
    }

    void append(std::string_view data, bool isFinal)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_complete) {
                return;
            }
            m_complete = isFinal;
            m_buffer.append(data);
            if (m_writing) {
                return;
            }
            m_writing = true;
        }
        flush();
    }

    /// Sends the buffered data. Called only by the thread or callback that owns m_writing.
    void flush()
    {
        std::string data;
        bool isFinal = false;
        {
            const std::lock_guard lock(m_mutex);
            isFinal = m_complete;
            if (m_buffer.empty() && !(isFinal && !m_finalPartSent)) {
                m_writing = false;
                return;
            }
            data.swap(m_buffer);
            m_inFlight = data.size();
            m_finalPartSent = isFinal;
        }
        send(std::move(data), isFinal);
    }

    void send(std::string data, bool isFinal)
    {
        restinio::writable_items_container_t items;
        if (!data.empty()) {
            items.emplace_back(std::move(data));
        }
        restinio::write_group_t group(std::move(items));
        group.after_write_notificator([self = shared_from_this()](const auto &ec) { self->handleWriteCompletion(!ec); });
        const restinio::response_output_flags_t flags(isFinal ? restinio::response_parts_attr_t::final_parts : restinio::response_parts_attr_t::not_final_parts,
                                                      restinio::response_connection_attr(m_keepAlive));
        // Holds a reference, as closing may release the last other reference to the connection.
        const auto connection = restinio::impl::access_req_connection(*m_request);
        connection->write_response_parts(m_request->request_id(), flags, std::move(group));
    }

    void handleWriteCompletion(bool ok)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_inFlight = 0;
            if (!ok) {
                m_complete = true;
                m_finalPartSent = true;
                m_buffer.clear();
                m_connectionState->open = false;
            }
        }
        flush();
    }

    std::shared_ptr<restinio::asio_ns::io_context> m_ioContext;
    restinio::request_handle_t m_request;
    std::shared_ptr<ConnectionState> m_connectionState;
    bool m_keepAlive;
    bool m_chunked;
    bool m_isHead;
    mutable std::mutex m_mutex;
    std::string m_buffer;
    std::size_t m_inFlight = 0;
    bool m_writing = false;
    bool m_complete = false;
    bool m_finalPartSent = false;
};

class ExchangeResponder : public HttpResponder
{
public:
    explicit ExchangeResponder(std::shared_ptr<Exchange> exchange)
        : m_exchange(std::move(exchange))
    {
    }
    ~ExchangeResponder() override
    {
        m_exchange->abort();
    }
    ExchangeResponder(const ExchangeResponder &) = delete;
    ExchangeResponder &operator=(const ExchangeResponder &) = delete;

    void respond(HttpResponse response) override
    {
        m_exchange->respond(response);
    }
    void begin(int status, const std::string &contentType, const std::vector<std::pair<std::string, std::string>> &headers) override
    {
        m_exchange->begin(status, contentType, headers);
    }
    void write(std::string chunk) override
    {
        m_exchange->write(chunk);
    }
    void end() override
    {
        m_exchange->end();
    }
    void abort() override
    {
        m_exchange->abort();
    }
    bool isOpen() const override
    {
        return m_exchange->isOpen();
    }
    std::size_t pendingBytes() const override
    {
        return m_exchange->pendingBytes();
    }

private:
    std::shared_ptr<Exchange> m_exchange;
};

std::unique_ptr<HttpResponder>
makeResponder(std::shared_ptr<restinio::asio_ns::io_context> io, restinio::request_handle_t request, std::shared_ptr<ConnectionState> connection)
{
    return std::make_unique<ExchangeResponder>(std::make_shared<Exchange>(std::move(io), std::move(request), std::move(connection)));
}

}
