#include "net/httpclient.h"

#include "net/httpserver.h"
#include "net/rawresponder.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace Basilbend;

namespace
{

/// Starts a response to every request and leaves it unfinished until the fixture is destroyed.
struct HoldingServer {
    std::promise<void> arrived;
    std::vector<std::unique_ptr<HttpResponder>> held;
    HttpServer server{"127.0.0.1", 0, 1, {}, [this](const HttpRequest &, std::unique_ptr<HttpResponder> responder) {
                          responder->begin(200, "text/plain", {});
                          responder->write("first");
                          held.push_back(std::move(responder));
                      }};
    HttpClient client;

    HttpClientRequest request() const
    {
        HttpClientRequest request;
        request.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
        return request;
    }

    ~HoldingServer()
    {
        server.stop();
    }
};

}

BOOST_AUTO_TEST_SUITE(net, *boost::unit_test::label("net"))

BOOST_FIXTURE_TEST_CASE(a_cancelled_exchange_is_reported_once_as_cancelled, HoldingServer)
{
    std::promise<HttpClientResponse> done;
    std::uint64_t number = 0;
    std::promise<void> firstByte;
    number = client.send(
        request(), [&done](HttpClientResponse r) { done.set_value(std::move(r)); }, [&firstByte](int, std::string_view) { firstByte.set_value(); });
    firstByte.get_future().wait();
    client.cancel(number);
    client.cancel(number);
    BOOST_TEST((done.get_future().get().failure == TransportFailure::Cancelled));
}

// Guards against streams that hang indefinitely when their host stops sending.
BOOST_FIXTURE_TEST_CASE(a_stream_without_data_fails_as_silent, HoldingServer)
{
    auto silent = request();
    silent.silenceTimeout = Milliseconds(50);
    BOOST_TEST((client.sendAndWait(silent).failure == TransportFailure::Silent));
}

BOOST_FIXTURE_TEST_CASE(an_exchange_that_exceeds_its_timeout_fails_as_timed_out, HoldingServer)
{
    auto limited = request();
    limited.timeout = Milliseconds(50);
    BOOST_TEST((client.sendAndWait(limited).failure == TransportFailure::TimedOut));
}

// Guards against reporting Execution::Unknown for a refused connection, which proves that the request was not executed.
BOOST_AUTO_TEST_CASE(a_closed_port_is_reported_as_connection_refused)
{
    std::uint16_t port = 0;
    {
        const HttpServer server("127.0.0.1", 0, 1, {}, [](const HttpRequest &, const std::unique_ptr<HttpResponder> &) {});
        port = server.port();
    }
    HttpClient client;
    HttpClientRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    BOOST_TEST((client.sendAndWait(request).failure == TransportFailure::ConnectionRefused));
    request.abortiveClose = true;
    BOOST_TEST((client.sendAndWait(request).failure == TransportFailure::ConnectionRefused));
}

BOOST_AUTO_TEST_CASE(destroying_the_client_cancels_open_exchanges)
{
    std::promise<HttpClientResponse> done;
    HoldingServer holder;
    {
        HttpClient client;
        client.send(holder.request(), [&done](HttpClientResponse r) { done.set_value(std::move(r)); });
    }
    BOOST_TEST((done.get_future().get().failure == TransportFailure::Cancelled));
}

// Guards against an invalid response that is taken for an answer, or whose body is taken for another one.
BOOST_AUTO_TEST_CASE(an_exchange_with_an_invalid_response_fails)
{
    for (const std::string bytes : {"HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/1.1 101 Switching Protocols\r\n\r\nab",
                                    "HTTP/1.1 700 Odd\r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/9.9 200 OK\r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/1.1 200 OK\r\n X-Odd: 1\r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/1.1 200 OK\r\nX\tOdd: 1\r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/1.1 200 OK\r\nX-Odd: 1\x01\r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/1.1 200 OK\r\nX-Odd\r\nContent-Length: 2\r\n\r\nab",
                                    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nabc",
                                    "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nabc",
                                    "HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\nab",
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: odd\r\n\r\nab"}) {
        const RawResponder responder(bytes);
        HttpClient client;
        HttpClientRequest request;
        request.url = responder.url();
        request.timeout = Milliseconds(3000);
        const auto response = client.sendAndWait(request);
        BOOST_TEST((response.failure == TransportFailure::ConnectionLost), bytes);
    }
}

// Guards against a field that loses a part of its value, or against a part that is taken for another field.
BOOST_AUTO_TEST_CASE(a_folded_line_belongs_to_the_field_before_it)
{
    const RawResponder responder("HTTP/1.1 200 OK\r\nX-Long: one\r\n X-Two: two\r\nContent-Length: 2\r\n\r\nab");
    HttpClient client;
    HttpClientRequest request;
    request.url = responder.url();
    const auto response = client.sendAndWait(request);
    BOOST_TEST((response.failure == TransportFailure::None));
    BOOST_TEST(response.headers.at("x-long") == "one X-Two: two");
    BOOST_TEST(response.headers.size() == 2U);
    BOOST_TEST(response.body == "ab");
}

// Guards against part of a response that is taken for all of it: it has no length, and its connection ends within the request.
BOOST_AUTO_TEST_CASE(a_response_without_a_length_that_ends_within_the_request_is_no_answer)
{
    const RawResponder responder("HTTP/1.1 200 OK\r\n\r\npart");
    HttpClient client;
    HttpClientRequest request;
    request.method = "POST";
    request.url = responder.url();
    request.timeout = Milliseconds(3000);
    request.body = std::string(16 * 1024 * 1024, 'b');
    const auto response = client.sendAndWait(request);
    BOOST_TEST((response.failure == TransportFailure::ConnectionLost));
}

BOOST_AUTO_TEST_SUITE_END()
