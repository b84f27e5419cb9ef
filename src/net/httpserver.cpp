#include "net/httpserver.h"

#include "base/resultcode.h"
#include "net/httpexchange.h"
#include "net/restinioconfig.h"

#include <future>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <thread>

namespace Basilbend
{

namespace Internal
{

/// A connection is closed if a write to its peer takes longer than this.
constexpr std::chrono::seconds WriteTimeout{30};
/// RESTinio requires a limit for handlers. It is long because the services enforce their own deadlines.
constexpr std::chrono::hours HandlerTimeout{24};
constexpr int TcpUserTimeoutMs = 5000;
constexpr std::size_t ReadBufferBytes = 16 * 1024;

std::string percentDecoded(restinio::string_view_t text)
{
    const auto result = restinio::utils::try_unescape_percent_encoding<restinio::utils::javascript_compatible_unescape_traits>(text);
    return result ? *result : std::string(text.data(), text.size());
}

std::map<std::string, std::string> parseQuery(restinio::string_view_t text)
{
    std::map<std::string, std::string> query;
    while (!text.empty()) {
        const auto end = std::min(text.find('&'), text.size());
        const auto part = text.substr(0, end);
        const auto equals = std::min(part.find('='), part.size());
        if (equals > 0) {
            query[percentDecoded(part.substr(0, equals))] = equals < part.size() ? percentDecoded(part.substr(equals + 1)) : std::string();
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return query;
}

HttpRequest toHttpRequest(restinio::request_t &from)
{
    HttpRequest request;
    const auto &head = from.header();
    request.method = head.method().c_str();
    const auto path = head.path();
    request.path.assign(path.data(), path.size());
    const auto query = head.query();
    request.rawQuery.assign(query.data(), query.size());
    request.query = parseQuery(query);
    head.for_each_field([&request](const auto &field) {
        std::string name = field.name();
        for (auto &c : name) {
            c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        }
        auto [it, isNew] = request.headers.emplace(std::move(name), field.value());
        if (!isNew) {
            it->second += ", " + field.value();
        }
    });
    request.body = from.body();
    return request;
}

/// The parser accepts "Transfer-Encoding : chunked", which other parsers read as a different header.
bool hasMalformedHeaderName(const HttpHeaders &headers)
{
    const auto isMalformed = [](const auto &header) { return header.first.find_first_of(" \t\"(),/:;<=>?@[\\]{}") != std::string::npos; };
    return std::any_of(headers.begin(), headers.end(), isMalformed);
}

std::string errorBody(ResultCode code, const std::string &message)
{
    return "{\"error\":{\"code\":" + std::to_string(static_cast<int>(code)) + ",\"name\":\"" + std::string(resultCodeName(code)) + "\",\"message\":\"" + message
        + "\",\"execution\":\"not_run\",\"retry_after_ms\":0}}";
}

restinio::incoming_http_msg_limits_t messageLimits(const HttpLimits &limits)
{
    constexpr std::size_t MaxFields = 128;
    return restinio::incoming_http_msg_limits_t{}
        .max_url_size(limits.maxHeaderBytes)
        .max_field_name_size(limits.maxHeaderBytes)
        .max_field_value_size(limits.maxHeaderBytes)
        .max_field_count(MaxFields)
        .max_body_size(limits.maxBodyBytes);
}

}

class HttpServer::Private
{
public:
    Private(const std::string &address, std::uint16_t port, std::size_t threads, const HttpLimits &limits, HttpHandler handler)
        : m_handler(std::move(handler))
        , m_ioContext(std::make_shared<restinio::asio_ns::io_context>(static_cast<int>(threads)))
        , m_listener(std::make_shared<Internal::ConnectionListener>())
        , m_server(std::make_unique<Server>(restinio::external_io_context(*m_ioContext), settings(address, port, threads, limits)))
        , m_workGuard(restinio::asio_ns::make_work_guard(*m_ioContext))
    {
        // Limits the total size of all headers. http_parser has one such limit per process.
        http_parser_set_max_header_size(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        m_server->open_sync();
        for (std::size_t i = 0; i < threads; ++i) {
            m_threads.emplace_back([io = m_ioContext] { io->run(); });
        }
    }

    ~Private()
    {
        stop();
        m_server.reset();
    }

    std::uint16_t port() const
    {
        return m_port;
    }

    void stopAccepting()
    {
        std::promise<void> closed;
        const auto close = [this] { m_server->close_sync(); };
        if (m_ioContext->get_executor().running_in_this_thread()) {
            close();
            return;
        }
        restinio::asio_ns::post(*m_ioContext, [&] {
            close();
            closed.set_value();
        });
        closed.get_future().wait();
    }

    void stop()
    {
        if (m_threads.empty()) {
            return;
        }
        stopAccepting();
        m_ioContext->stop();
        for (auto &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
        m_stopping = true;
        m_ioContext->restart();
        m_listener->closeAll();
        m_ioContext->poll();
        m_ioContext->stop();
    }

private:
    using Server = restinio::http_server_t<Internal::ServerTraits>;
    using Settings = restinio::server_settings_t<Internal::ServerTraits>;

    Settings settings(const std::string &address, std::uint16_t port, std::size_t threads, const HttpLimits &limits)
    {
        using restinio::asio_ns::ip::tcp;
        const auto checkPeriod = std::min<Milliseconds>(std::max<Milliseconds>(limits.headTimeout / 4, Milliseconds(1)), std::chrono::seconds(1));
        return Settings()
            .address(restinio::asio_ns::ip::make_address(address))
            .port(port)
            .buffer_size(Internal::ReadBufferBytes)
            .read_next_http_message_timelimit(limits.headTimeout)
            .write_http_response_timelimit(Internal::WriteTimeout)
            .handle_request_timeout(Internal::HandlerTimeout)
            // With two, the connection is still read while a request is handled, so that its end is detected.
            .max_pipelined_requests(2)
            .max_parallel_connections(limits.maxConnections)
            .concurrent_accepts_count(threads)
            .timer_manager(checkPeriod)
            .connection_state_listener(m_listener)
            .incoming_http_msg_limits(Internal::messageLimits(limits))
            .acceptor_options_setter([](auto &options) { options.set_option(tcp::acceptor::reuse_address(true)); })
            .acceptor_post_bind_hook([this](tcp::acceptor &acceptor) { m_port = acceptor.local_endpoint().port(); })
            .socket_options_setter([](auto &options) {
                std::error_code ignored;
                options.set_option(tcp::no_delay(true), ignored);
                options.set_option(restinio::asio_ns::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(Internal::TcpUserTimeoutMs), ignored);
            })
            .request_handler([this](const restinio::request_handle_t &request) { return handle(request); });
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t &request)
    {
        auto connection = m_listener->find(request->connection_id(), restinio::impl::access_req_connection(*request));
        auto received = Internal::toHttpRequest(*request);
        auto responder = Internal::makeResponder(m_ioContext, request, std::move(connection));
        if (m_stopping) {
            responder->abort();
        } else if (Internal::hasMalformedHeaderName(received.headers)) {
            responder->respond({httpStatus(ResultCode::MalformedRequest),
                                Internal::errorBody(ResultCode::MalformedRequest, "a header name holds a character that names can't have"),
                                "application/json",
                                {{"Connection", "close"}}});
        } else {
            m_handler(std::move(received), std::move(responder));
        }
        return restinio::request_accepted();
    }

    HttpHandler m_handler;
    std::uint16_t m_port = 0;
    bool m_stopping = false;
    std::shared_ptr<restinio::asio_ns::io_context> m_ioContext;
    std::shared_ptr<Internal::ConnectionListener> m_listener;
    std::unique_ptr<Server> m_server;
    restinio::asio_ns::executor_work_guard<restinio::asio_ns::io_context::executor_type> m_workGuard;
    std::vector<std::thread> m_threads;
};

HttpServer::HttpServer(const std::string &address, std::uint16_t port, std::size_t threads, HttpLimits limits, HttpHandler handler)
    : m_d(std::make_unique<Private>(address, port, threads, limits, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const
{
    return m_d->port();
}

void HttpServer::stopAccepting()
{
    m_d->stopAccepting();
}

void HttpServer::stop()
{
    m_d->stop();
}

}
