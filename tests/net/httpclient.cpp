#include "net/httpclient.h"

#include "net/httpserver.h"

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

BOOST_AUTO_TEST_SUITE_END()
