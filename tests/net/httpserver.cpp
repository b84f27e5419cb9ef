#include "net/httpserver.h"

#include "net/httpclient.h"
#include "net/rawsocket.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace Basilbend;

namespace
{

struct ServerFixture {
    HttpHandler handler = [](const HttpRequest &request, const std::unique_ptr<HttpResponder> &responder) {
        responder->respond({200, request.method + " " + request.path + " " + request.body, "text/plain", {}});
    };
    HttpLimits limits;
    HttpClient client;
    std::unique_ptr<HttpServer> server;

    void start()
    {
        server = std::make_unique<HttpServer>("127.0.0.1", 0, 2, limits, [this](HttpRequest request, std::unique_ptr<HttpResponder> responder) {
            handler(std::move(request), std::move(responder));
        });
    }

    std::string url(const std::string &path) const
    {
        return "http://127.0.0.1:" + std::to_string(server->port()) + path;
    }
};

}

BOOST_AUTO_TEST_SUITE(net, *boost::unit_test::label("net"))

BOOST_FIXTURE_TEST_CASE(a_request_is_received_completely_and_answered, ServerFixture)
{
    start();
    HttpClientRequest request;
    request.method = "POST";
    request.url = url("/echo?a=b%20c");
    request.body = std::string(100000, 'x');
    const auto response = client.sendAndWait(request);
    BOOST_TEST((response.failure == TransportFailure::None));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "POST /echo " + request.body);
    BOOST_TEST(response.headers.at("content-type") == "text/plain");
}

// Guards against merged or reordered parts when writes are faster than the socket accepts them.
BOOST_FIXTURE_TEST_CASE(a_stream_written_from_another_thread_arrives_in_order, ServerFixture)
{
    std::future<void> writer;
    handler = [&writer](const HttpRequest &, std::unique_ptr<HttpResponder> responder) {
        writer = std::async(std::launch::async, [r = std::shared_ptr<HttpResponder>(std::move(responder))] {
            r->begin(200, "text/plain", {});
            for (int i = 0; i < 20000; ++i) {
                r->write(std::to_string(i) + "\n");
            }
            r->end();
        });
    };
    start();
    std::string expected;
    for (int i = 0; i < 20000; ++i) {
        expected += std::to_string(i) + "\n";
    }
    std::string received;
    std::promise<HttpClientResponse> done;
    HttpClientRequest request;
    request.url = url("/");
    client.send(
        request, [&done](HttpClientResponse r) { done.set_value(std::move(r)); }, [&received](int, std::string_view data) { received += data; });
    BOOST_TEST((done.get_future().get().failure == TransportFailure::None));
    BOOST_TEST((received == expected));
}

// Guards against a truncated response that the caller takes for a complete one.
BOOST_FIXTURE_TEST_CASE(destroying_a_responder_in_mid_stream_closes_the_connection, ServerFixture)
{
    handler = [](const HttpRequest &, const std::unique_ptr<HttpResponder> &responder) {
        responder->begin(200, "text/plain", {});
        responder->write("half");
    };
    start();
    HttpClientRequest request;
    request.url = url("/");
    BOOST_TEST((client.sendAndWait(request).failure == TransportFailure::ConnectionLost));
}

// Guards against requests that continue to run after their caller has disconnected.
BOOST_FIXTURE_TEST_CASE(a_closed_caller_connection_is_detected_while_the_request_runs, ServerFixture)
{
    std::promise<std::unique_ptr<HttpResponder>> arrived;
    handler = [&arrived](const HttpRequest &, std::unique_ptr<HttpResponder> responder) { arrived.set_value(std::move(responder)); };
    start();
    std::unique_ptr<HttpResponder> responder;
    {
        const RawSocket socket(server->port());
        socket.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        responder = arrived.get_future().get();
        BOOST_TEST(responder->isOpen());
    }
    while (responder->isOpen()) {
        std::this_thread::yield();
    }
    responder->respond({});
}

// Guards against request smuggling: two parsers must never disagree on where a request ends.
BOOST_FIXTURE_TEST_CASE(requests_of_ambiguous_length_are_rejected, ServerFixture)
{
    start();
    for (const auto *sizes : {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                              "Content-Length: 5\r\nContent-Length: 6\r\n",
                              "Content-Length: +5\r\n",
                              "Content-Length: 5, 5\r\n",
                              "Transfer-Encoding: chunked, identity\r\n",
                              "Transfer-Encoding : chunked\r\n",
                              "Content-Length: 99999999999999999999\r\n"}) {
        RawSocket socket(server->port());
        socket.send(std::string("POST / HTTP/1.1\r\nHost: a\r\n") + sizes + "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto answer = socket.readAll();
        BOOST_TEST(answer.find("200 OK") == std::string::npos, sizes << answer);
    }
}

// Guards against connections held open by peers that send the request head slowly or not at all.
BOOST_FIXTURE_TEST_CASE(connections_without_a_complete_request_head_are_closed, ServerFixture)
{
    limits.headTimeout = Milliseconds(50);
    start();
    RawSocket silent(server->port());
    RawSocket slow(server->port());
    slow.send("GET / HTT");
    BOOST_TEST(silent.readAll().find("200 OK") == std::string::npos);
    BOOST_TEST(slow.readAll().find("200 OK") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(oversized_heads_and_bodies_are_rejected_and_the_server_keeps_running, ServerFixture)
{
    limits.maxBodyBytes = 1000;
    start();
    HttpClientRequest large;
    large.method = "POST";
    large.url = url("/");
    large.body = std::string(2000, 'x');
    BOOST_TEST(client.sendAndWait(large).status != 200);
    RawSocket socket(server->port());
    socket.send("GET / HTTP/1.1\r\nHost: a\r\n");
    for (int i = 0; i < 100; ++i) {
        socket.send("X-" + std::to_string(i) + ": " + std::string(500, 'x') + "\r\n");
    }
    BOOST_TEST(socket.readAll().find("200 OK") == std::string::npos);
    large.body = "small";
    BOOST_TEST(client.sendAndWait(large).status == 200);
}

BOOST_FIXTURE_TEST_CASE(a_server_that_stops_accepting_completes_open_requests, ServerFixture)
{
    std::promise<std::unique_ptr<HttpResponder>> arrived;
    handler = [&arrived](const HttpRequest &, std::unique_ptr<HttpResponder> responder) { arrived.set_value(std::move(responder)); };
    start();
    std::promise<HttpClientResponse> done;
    HttpClientRequest request;
    request.url = url("/");
    client.send(request, [&done](HttpClientResponse r) { done.set_value(std::move(r)); });
    const auto responder = arrived.get_future().get();
    server->stopAccepting();
    HttpClientRequest other = request;
    other.freshConnection = true;
    BOOST_TEST((client.sendAndWait(other).failure == TransportFailure::ConnectionRefused));
    responder->respond({200, "whole", "text/plain", {}});
    BOOST_TEST(done.get_future().get().body == "whole");
}

// Guards against peers that wait on connections of a stopped server.
BOOST_FIXTURE_TEST_CASE(stopping_closes_open_and_idle_connections, ServerFixture)
{
    std::vector<std::unique_ptr<HttpResponder>> held;
    handler = [&held](const HttpRequest &request, std::unique_ptr<HttpResponder> responder) {
        if (request.path == "/idle") {
            responder->respond({});
        } else {
            responder->begin(200, "text/plain", {});
            responder->write("begun");
            held.push_back(std::move(responder));
        }
    };
    start();
    RawSocket idle(server->port());
    idle.send("GET /idle HTTP/1.1\r\nHost: a\r\n\r\n");
    idle.readUntil("\r\n\r\n");
    RawSocket open(server->port());
    open.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    open.readUntil("begun");
    server->stop();
    idle.readAll();
    BOOST_TEST(open.readAll().find("\r\n0\r\n") == std::string::npos);
    BOOST_TEST(!held.front()->isOpen());
    held.front()->write("late");
}

BOOST_AUTO_TEST_SUITE_END()
