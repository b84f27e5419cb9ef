#include "http/socketoptions.h"
#include "http/webclient.h"
#include "http/webserver.h"

#include "base/systemclock.h"

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <stdexcept>

using namespace Basilbend;

namespace
{

constexpr auto LoopTimeout = std::chrono::seconds(3);

/// A server and a client on the loopback address that share one event loop.
struct WebFixture {
    asio::io_context io;
    ServerLimits limits;
    bool draining = false;
    std::vector<std::shared_ptr<ServerExchange>> exchanges;
    std::function<void(const std::shared_ptr<ServerExchange> &)> onRequest = [](const std::shared_ptr<ServerExchange> &exchange) {
        exchange->respond({200, {{"X-Path", exchange->request().target}}, exchange->request().body});
    };
    std::unique_ptr<WebServer> server = makeServer();
    WebClient client{io, systemNow};

    std::unique_ptr<WebServer> makeServer()
    {
        ServerHooks hooks;
        hooks.onRequest = [this](const std::shared_ptr<ServerExchange> &exchange) {
            exchanges.push_back(exchange);
            onRequest(exchange);
        };
        hooks.errorResponse = [](int status) { return ResponseMessage{status, {}, {}}; };
        hooks.limits = [this] { return limits; };
        hooks.isDraining = [this] { return draining; };
        return std::make_unique<WebServer>(io, "127.0.0.1:0", std::move(hooks));
    }

    asio::ip::tcp::endpoint address() const
    {
        return {asio::ip::make_address("127.0.0.1"), server->port()};
    }

    /// Runs the loop until the condition holds or LoopTimeout has passed. Returns whether the condition holds.
    bool runUntil(const std::function<bool()> &isDone)
    {
        const auto end = std::chrono::steady_clock::now() + LoopTimeout;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(20));
        }
        return isDone();
    }

    struct Outcome {
        ResponseHead head;
        std::string body;
        std::optional<CallOutcome> end;
    };

    ClientCall call(const RequestMessage &request, Outcome &outcome)
    {
        CallHooks hooks;
        hooks.onHead = [&outcome](const ResponseHead &head) { outcome.head = head; };
        hooks.onBody = [&outcome](std::string_view data) { outcome.body.append(data); };
        hooks.onEnd = [&outcome](CallOutcome end) { outcome.end = end; };
        return client.send(address(), request, std::move(hooks), Milliseconds(500));
    }

    /// Sends bytes on a new connection and returns the bytes received until the server closes it.
    std::string rawExchange(const std::string &bytes)
    {
        asio::ip::tcp::socket socket(io);
        socket.connect(address());
        asio::write(socket, asio::buffer(bytes));
        std::string response;
        bool closed = false;
        std::array<char, 4096> buf{};
        std::function<void()> read = [&] {
            socket.async_read_some(asio::buffer(buf), [&](const asio::error_code &ec, std::size_t n) {
                response.append(buf.data(), n);
                if (ec) {
                    closed = true;
                } else {
                    read();
                }
            });
        };
        read();
        runUntil([&] { return closed; });
        socket.close();
        runUntil([&] { return closed; });
        return response;
    }
};

/// A server that accepts one connection and responds to any request with fixed bytes.
struct ScriptedServer {
    explicit ScriptedServer(asio::io_context &io, std::string bytes)
        : acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , socket(io)
        , response(std::move(bytes))
    {
        acceptor.async_accept(socket, [this](const asio::error_code &) {
            socket.async_read_some(asio::buffer(buf), [this](const asio::error_code &, std::size_t) {
                asio::write(socket, asio::buffer(response));
                asio::error_code ec;
                socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
            });
        });
    }

    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket socket;
    std::string response;
    std::array<char, 4096> buf{};
};

/// Sends requests with these fields and bodies, and a second request behind each, and checks that the first is refused and the second not read.
void checkRefused(const std::vector<std::string> &requests)
{
    const std::string next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
    for (const auto &fields : requests) {
        // A line that begins with a blank belongs to the line before it, so it has to be the first field.
        std::string bytes = fields.front() == ' ' ? "POST /p HTTP/1.1\r\n" : "POST /p HTTP/1.1\r\nHost: h\r\n";
        bytes.append(fields).append(next);
        WebFixture fixture;
        const auto response = fixture.rawExchange(bytes);
        BOOST_TEST(response.substr(0, 12) == "HTTP/1.1 400", fields);
        BOOST_TEST(response.find("Connection: close") != std::string::npos, fields);
        BOOST_TEST(response.find("HTTP/1.1", 1) == std::string::npos, fields);
        BOOST_TEST(fixture.exchanges.empty(), fields);
    }
}

}

BOOST_AUTO_TEST_SUITE(http, *boost::unit_test::label("http"))

BOOST_FIXTURE_TEST_CASE(consecutive_requests_reuse_one_connection, WebFixture)
{
    for (int i = 0; i < 3; ++i) {
        Outcome outcome;
        const auto open = call({"POST", "/p", {{"Host", "h"}}, "body"}, outcome);
        BOOST_REQUIRE(runUntil([&] { return outcome.end.has_value(); }));
        BOOST_TEST((*outcome.end == CallOutcome::Complete));
        BOOST_TEST(outcome.body == "body");
    }
    BOOST_TEST(client.counts().connects == 1U);
    BOOST_TEST(server->sessionCount() == 1U);
}

// Guards against work that continues for a client that has disconnected.
BOOST_FIXTURE_TEST_CASE(a_client_disconnect_is_detected_while_its_request_is_processed, WebFixture)
{
    bool disconnected = false;
    onRequest = [&disconnected](const std::shared_ptr<ServerExchange> &exchange) { exchange->onClientDisconnected = [&disconnected] { disconnected = true; }; };
    Outcome outcome;
    auto open = call({"GET", "/slow", {{"Host", "h"}}, {}}, outcome);
    BOOST_REQUIRE(runUntil([&] { return !exchanges.empty(); }));
    open.cancel();
    BOOST_TEST(runUntil([&] { return disconnected; }));
    BOOST_TEST(!outcome.end.has_value());
}

BOOST_FIXTURE_TEST_CASE(a_streamed_response_arrives_in_chunks_and_an_aborted_one_is_not_complete, WebFixture)
{
    onRequest = [](const std::shared_ptr<ServerExchange> &exchange) { exchange->beginStream({200, {}}); };
    Outcome complete;
    const auto first = call({"GET", "/a", {{"Host", "h"}}, {}}, complete);
    BOOST_REQUIRE(runUntil([&] { return exchanges.size() == 1; }));
    exchanges[0]->sendChunk("one");
    BOOST_TEST(runUntil([&] { return complete.body == "one"; }));
    exchanges[0]->sendChunk("two");
    exchanges[0]->endStream();
    BOOST_REQUIRE(runUntil([&] { return complete.end.has_value(); }));
    BOOST_TEST((*complete.end == CallOutcome::Complete));
    Outcome aborted;
    const auto second = call({"GET", "/b", {{"Host", "h"}}, {}}, aborted);
    BOOST_REQUIRE(runUntil([&] { return exchanges.size() == 2; }));
    exchanges[1]->sendChunk("half");
    BOOST_REQUIRE(runUntil([&] { return aborted.body == "half"; }));
    exchanges[1]->abort();
    BOOST_REQUIRE(runUntil([&] { return aborted.end.has_value(); }));
    BOOST_TEST((*aborted.end == CallOutcome::Broken));
}

BOOST_FIXTURE_TEST_CASE(invalid_requests_get_an_error_status_and_a_close, WebFixture)
{
    limits.maxHeadBytes = 512;
    limits.maxBodyBytes = 100;
    limits.headTimeout = Milliseconds(200);
    BOOST_TEST(rawExchange("nonsense\r\n\r\n").substr(0, 12) == "HTTP/1.1 400");
    BOOST_TEST(rawExchange("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(1000, 'x') + "\r\n\r\n").substr(0, 12) == "HTTP/1.1 431");
    BOOST_TEST(rawExchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n" + std::string(200, 'x')).substr(0, 12) == "HTTP/1.1 413");
    BOOST_TEST(rawExchange("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n").substr(0, 12) == "HTTP/1.1 400");
    BOOST_TEST(rawExchange("GET / HTTP/1.1\r\nHos").substr(0, 12) == "HTTP/1.1 408");
    BOOST_TEST(exchanges.empty());
}

// Guards against request smuggling: another reader of such a name sees another body, or another request behind it (RFC 9112, section 5.1).
BOOST_AUTO_TEST_CASE(a_request_with_an_invalid_field_gets_400_and_a_close)
{
    checkRefused({"Content-Length : 3\r\n\r\nabc",
                  "Content Length: 3\r\n\r\nabc",
                  " Content-Length: 3\r\n\r\nabc",
                  "Transfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                  "X Odd: 1\r\nContent-Length: 3\r\n\r\nabc",
                  "X-Odd : 1\r\nContent-Length: 3\r\n\r\nabc",
                  "X\tOdd: 1\r\nContent-Length: 3\r\n\r\nabc",
                  ": 1\r\nContent-Length: 3\r\n\r\nabc",
                  "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX Odd: 1\r\n\r\n"});
}

// Guards against a body that is not the client's: its length or its coding is taken for another one.
BOOST_AUTO_TEST_CASE(a_request_whose_length_or_coding_cannot_be_followed_gets_400_and_a_close)
{
    checkRefused({"Content-Length:\r\n\r\n",
                  "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                  "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"});
}

// Guards against request smuggling: another reader finds the end of such a line or chunk in another place.
BOOST_AUTO_TEST_CASE(a_request_with_an_invalid_line_end_gets_400_and_a_close)
{
    checkRefused({"Content-Length: 3\r\n\rXabc",
                  "Transfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n",
                  "Transfer-Encoding: chunked\r\n\r\n3\rXabc\r\n0\r\n\r\n",
                  "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\rX"});
}

// Guards against a request of another version of the protocol that is read as one of this version.
BOOST_FIXTURE_TEST_CASE(a_request_of_another_version_gets_400, WebFixture)
{
    BOOST_TEST(rawExchange("GET /p HTTP/9.9\r\nHost: h\r\n\r\n").substr(0, 12) == "HTTP/1.1 400");
    BOOST_TEST(exchanges.empty());
}

BOOST_FIXTURE_TEST_CASE(a_draining_server_sends_connection_close_with_its_response, WebFixture)
{
    draining = true;
    const auto response = rawExchange("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
    BOOST_TEST(response.find("200 OK") != std::string::npos);
}

// Guards against a raised idle limit that has no effect on connections whose idle timer is already running.
BOOST_FIXTURE_TEST_CASE(a_raised_idle_limit_applies_to_a_connection_that_is_already_idle, WebFixture)
{
    limits.idleTimeout = Milliseconds(300);
    Outcome outcome;
    const auto open = call({"GET", "/", {{"Host", "h"}}, {}}, outcome);
    BOOST_REQUIRE(runUntil([&] { return outcome.end.has_value(); }));
    limits.idleTimeout = Milliseconds(60000);
    const auto start = std::chrono::steady_clock::now();
    runUntil([&] { return std::chrono::steady_clock::now() - start > std::chrono::milliseconds(600); });
    BOOST_TEST(server->sessionCount() == 1U);
}

// Guards against a response that is attributed to the wrong call.
BOOST_FIXTURE_TEST_CASE(a_response_to_another_call_is_skipped, WebFixture)
{
    ScriptedServer scripted(io, "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nmine");
    Outcome outcome;
    CallHooks hooks;
    hooks.matchResponse = [](const ResponseHead &head) { return head.fields.value("X-Id") == "mine" ? ResponseMatch::ThisCall : ResponseMatch::OtherCall; };
    hooks.onBody = [&outcome](std::string_view data) { outcome.body.append(data); };
    hooks.onEnd = [&outcome](CallOutcome end) { outcome.end = end; };
    const auto open = client.send(scripted.acceptor.local_endpoint(), {"GET", "/", {{"Host", "h"}}, {}}, std::move(hooks), Milliseconds(500));
    BOOST_REQUIRE(runUntil([&] { return outcome.end.has_value(); }));
    BOOST_TEST((*outcome.end == CallOutcome::Complete));
    BOOST_TEST(outcome.body == "mine");
}

BOOST_AUTO_TEST_CASE(a_call_ends_with_the_outcome_that_matches_the_received_bytes)
{
    struct Row {
        const char *bytes;
        CallOutcome end;
    };
    for (const auto &row : {Row{"", CallOutcome::ClosedUnanswered},
                            // An endpoint that stops within the head of its response has not answered.
                            Row{"HTTP/1.1 200", CallOutcome::ClosedUnanswered},
                            Row{"HTTP/1.1 200 OK\r\nBasilbend-Server-Sig", CallOutcome::ClosedUnanswered},
                            Row{"HTTP/1.1 200 OK\r\nBasilbend-Server-Signature: s\r\n", CallOutcome::ClosedUnanswered},
                            Row{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", CallOutcome::ClosedUnanswered},
                            Row{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", CallOutcome::Broken},
                            Row{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", CallOutcome::Broken},
                            Row{"garbage garbage\r\n\r\n", CallOutcome::Broken},
                            // The end of the connection alone does not show that the response is whole.
                            Row{"HTTP/1.1 200 OK\r\n\r\nuntil the end", CallOutcome::Unframed},
                            Row{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcEXTRA", CallOutcome::Complete}}) {
        WebFixture fixture;
        ScriptedServer scripted(fixture.io, row.bytes);
        std::optional<CallOutcome> seen;
        CallHooks hooks;
        hooks.onEnd = [&seen](CallOutcome end) { seen = end; };
        const auto open = fixture.client.send(scripted.acceptor.local_endpoint(), {"GET", "/", {{"Host", "h"}}, {}}, std::move(hooks), Milliseconds(500));
        BOOST_REQUIRE(fixture.runUntil([&] { return seen.has_value(); }));
        BOOST_TEST((*seen == row.end), row.bytes);
    }
    WebFixture fixture;
    asio::ip::tcp::acceptor closed(fixture.io, {asio::ip::make_address("127.0.0.1"), 0});
    const auto closedEndpoint = closed.local_endpoint();
    closed.close();
    std::optional<CallOutcome> seen;
    CallHooks hooks;
    hooks.onEnd = [&seen](CallOutcome end) { seen = end; };
    const auto open = fixture.client.send(closedEndpoint, {"GET", "/", {{"Host", "h"}}, {}}, std::move(hooks), Milliseconds(500));
    BOOST_REQUIRE(fixture.runUntil([&] { return seen.has_value(); }));
    BOOST_TEST((*seen == CallOutcome::NotConnected));
}

// Guards against a target or a field that ends the head of its request and begins another request on the connection.
BOOST_FIXTURE_TEST_CASE(a_request_whose_head_would_end_early_is_not_sent, WebFixture)
{
    const std::vector<RequestMessage> requests{{"GET", "/p HTTP/1.1\r\n\r\nGET /q", {{"Host", "h"}}, {}},
                                               {"GET", "/p", {{"Host", "h"}, {"X-Odd", "1\r\nX-More: 2"}}, {}},
                                               {"GET", "/p", {{"Host", "h"}, {"X: 1\nX-More", "2"}}, {}},
                                               {"GET /q", "/p", {{"Host", "h"}}, {}}};
    for (const auto &request : requests) {
        Outcome outcome;
        const auto open = call(request, outcome);
        BOOST_TEST(!outcome.end.has_value());
        BOOST_REQUIRE(runUntil([&] { return outcome.end.has_value(); }));
        BOOST_TEST((*outcome.end == CallOutcome::NotConnected));
    }
    BOOST_TEST(exchanges.empty());
    BOOST_TEST(client.counts().refusedCalls == requests.size());
}

// Guards against a response field that ends the head of the response.
BOOST_FIXTURE_TEST_CASE(a_response_field_that_is_not_one_line_is_omitted, WebFixture)
{
    onRequest = [](const std::shared_ptr<ServerExchange> &exchange) { exchange->respond({200, {{"X-Odd", "1\r\nX-More: 2"}, {"X-Sound", "3"}}, "b"}); };
    Outcome outcome;
    const auto open = call({"GET", "/p", {{"Host", "h"}}, {}}, outcome);
    BOOST_REQUIRE(runUntil([&] { return outcome.end.has_value(); }));
    BOOST_TEST(outcome.head.fields.find("X-Odd") == nullptr);
    BOOST_TEST(outcome.head.fields.find("X-More") == nullptr);
    BOOST_TEST(outcome.head.fields.value("X-Sound") == "3");
}

// Guards against a process that ends, and with it all other requests, because the handler of one request throws.
BOOST_FIXTURE_TEST_CASE(a_handler_that_throws_ends_its_own_request_only, WebFixture)
{
    onRequest = [](const std::shared_ptr<ServerExchange> &exchange) {
        if (exchange->request().target == "/stream") {
            exchange->beginStream({200, {}});
        }
        if (exchange->request().target != "/sound") {
            throw std::runtime_error("odd request");
        }
        exchange->respond({200, {}, {}});
    };
    Outcome failed;
    Outcome broken;
    Outcome sound;
    const auto first = call({"GET", "/odd", {{"Host", "h"}}, {}}, failed);
    const auto second = call({"GET", "/stream", {{"Host", "h"}}, {}}, broken);
    const auto third = call({"GET", "/sound", {{"Host", "h"}}, {}}, sound);
    BOOST_REQUIRE(runUntil([&] { return failed.end && broken.end && sound.end; }));
    BOOST_TEST(failed.head.status == 500);
    BOOST_TEST((*failed.end == CallOutcome::Complete));
    BOOST_TEST((*broken.end != CallOutcome::Complete));
    BOOST_TEST(sound.head.status == 200);
}

// Guards against a call that waits for a body that a HEAD request does not get, and against one that is sent.
BOOST_FIXTURE_TEST_CASE(a_head_request_gets_a_head_only_and_its_connection_is_used_again, WebFixture)
{
    onRequest = [](const std::shared_ptr<ServerExchange> &exchange) {
        if (exchange->request().target == "/stream") {
            exchange->beginStream({200, {{"X-Kind", "stream"}}});
            exchange->sendChunk("data");
            exchange->endStream();
        } else {
            exchange->respond({200, {{"X-Kind", "whole"}}, "data"});
        }
    };
    for (const auto *target : {"/whole", "/stream"}) {
        Outcome head;
        const auto first = call({"HEAD", target, {{"Host", "h"}}, {}}, head);
        BOOST_REQUIRE(runUntil([&] { return head.end.has_value(); }));
        BOOST_TEST((*head.end == CallOutcome::Complete));
        BOOST_TEST(head.body.empty());
        BOOST_TEST(head.head.fields.value("X-Kind") == std::string_view(target).substr(1));
        Outcome next;
        const auto second = call({"GET", target, {{"Host", "h"}}, {}}, next);
        BOOST_REQUIRE(runUntil([&] { return next.end.has_value(); }));
        BOOST_TEST(next.body == "data");
    }
    BOOST_TEST(client.counts().connects == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
