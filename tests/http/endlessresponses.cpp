#include "http/endlessresponseserver.h"

#include "base/systemclock.h"
#include "http/eventstreamparser.h"
#include "http/webclient.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace Basilbend;

namespace
{

/// Upper bound on the bytes that a server can send of an invalid response, including those in socket buffers.
constexpr std::size_t MaxReceivedBytes = 12 * 1024 * 1024;

struct EndlessFixture {
    asio::io_context io;
    WebClient client{io, systemNow};
    std::optional<CallOutcome> end;
    ClientCall call;

    /// Sends a request and runs the loop until the call has ended or the server has sent twice the allowed bytes.
    void sendRequest(EndlessResponseServer &server)
    {
        CallHooks hooks;
        hooks.matchResponse = [](const ResponseHead &head) { return head.status == 418 ? ResponseMatch::OtherCall : ResponseMatch::ThisCall; };
        hooks.onHead = [](const ResponseHead &) {};
        hooks.onBody = [](std::string_view) {};
        hooks.onEnd = [this](CallOutcome outcome) { end = outcome; };
        call = client.send(server.address(), {"GET", "/", {{"Host", "a"}}, {}}, std::move(hooks), Milliseconds(500));
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!end && server.sentBytes < 2 * MaxReceivedBytes && std::chrono::steady_clock::now() < until) {
            io.restart();
            io.run_for(std::chrono::milliseconds(5));
        }
    }

    void checkEndsBroken(EndlessResponseServer &server)
    {
        sendRequest(server);
        BOOST_REQUIRE(end.has_value());
        BOOST_TEST((*end == CallOutcome::Broken));
        BOOST_TEST(server.sentBytes < MaxReceivedBytes);
    }
};

}

BOOST_AUTO_TEST_SUITE(http, *boost::unit_test::label("http"))

// These tests guard against a faulty server that sends invalid data until the client closes: the client must close.
BOOST_FIXTURE_TEST_CASE(an_endless_head_ends_the_call_as_broken, EndlessFixture)
{
    EndlessResponseServer server(io, "HTTP/1.1 200 OK\r\n", "X-Field: " + std::string(1000, 'x') + "\r\n");
    checkEndsBroken(server);
}

BOOST_FIXTURE_TEST_CASE(an_endless_field_ends_the_call_as_broken, EndlessFixture)
{
    EndlessResponseServer server(io, "HTTP/1.1 200 OK\r\nX-Field: ", std::string(4000, 'x'));
    checkEndsBroken(server);
}

BOOST_FIXTURE_TEST_CASE(data_that_is_not_http_ends_the_call_as_broken, EndlessFixture)
{
    EndlessResponseServer server(io, "nothing", std::string(4000, 'y'));
    checkEndsBroken(server);
}

BOOST_FIXTURE_TEST_CASE(endless_interim_responses_end_the_call_as_broken, EndlessFixture)
{
    EndlessResponseServer server(io, "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX-Field: " + std::string(1000, 'x') + "\r\n\r\n");
    checkEndsBroken(server);
}

BOOST_FIXTURE_TEST_CASE(endless_responses_to_other_calls_end_the_call_as_broken, EndlessFixture)
{
    EndlessResponseServer server(io, "", "HTTP/1.1 418 Other\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x'));
    checkEndsBroken(server);
}

BOOST_FIXTURE_TEST_CASE(an_endless_response_to_another_call_ends_the_call_as_broken, EndlessFixture)
{
    EndlessResponseServer server(io, "HTTP/1.1 418 Other\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + std::string(1000, 'x') + "\r\n");
    checkEndsBroken(server);
}

BOOST_FIXTURE_TEST_CASE(endless_trailers_end_the_call_as_broken, EndlessFixture)
{
    EndlessResponseServer server(io, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: " + std::string(1000, 'x') + "\r\n");
    checkEndsBroken(server);
}

BOOST_FIXTURE_TEST_CASE(an_endless_chunk_extension_ends_the_call_as_broken, EndlessFixture)
{
    EndlessResponseServer server(io, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", std::string(4000, 'x'));
    checkEndsBroken(server);
}

BOOST_AUTO_TEST_CASE(an_event_stream_with_an_endless_line_or_event_fails)
{
    int events = 0;
    EventStreamParser line([&events](const StreamEvent &) { ++events; });
    EventStreamParser event([&events](const StreamEvent &) { ++events; });
    EventStreamParser comments([&events](const StreamEvent &) { ++events; });
    BOOST_TEST(line.feed("id: 1\ndata: a\n\n"));
    std::size_t accepted = 0;
    for (; accepted < 4 * EventStreamParser::MaxEventBytes && line.feed(std::string(1000, 'x')); accepted += 1000) {}
    BOOST_TEST(accepted <= EventStreamParser::MaxEventBytes);
    accepted = 0;
    for (; accepted < 4 * EventStreamParser::MaxEventBytes && event.feed("data: " + std::string(1000, 'x') + "\n"); accepted += 1000) {}
    BOOST_TEST(accepted <= EventStreamParser::MaxEventBytes);
    accepted = 0;
    for (; accepted < 4 * EventStreamParser::MaxEventBytes && comments.feed(": keep-alive\n"); accepted += 13) {}
    BOOST_TEST(accepted <= EventStreamParser::MaxEventBytes);
    BOOST_TEST(events == 1);
    BOOST_TEST(!line.feed("\n\n"));
}

// Guards against a stream that never ends and brings no event: each comment is followed by the empty line that ends an event.
BOOST_AUTO_TEST_CASE(an_event_stream_of_comments_alone_fails)
{
    int events = 0;
    EventStreamParser parser([&events](const StreamEvent &) { ++events; });
    std::size_t accepted = 0;
    for (; accepted < 4 * EventStreamParser::MaxEventBytes && parser.feed(": keep-alive\n\n"); accepted += 14) {}
    BOOST_TEST(accepted <= EventStreamParser::MaxEventBytes);
    BOOST_TEST(events == 0);
}

// Guards against a long stream that fails though each of its events is small.
BOOST_AUTO_TEST_CASE(a_long_event_stream_of_small_events_and_comments_does_not_fail)
{
    int events = 0;
    EventStreamParser parser([&events](const StreamEvent &) { ++events; });
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(parser.feed("data: " + std::string(10'000, 'x') + "\n\n: keep-alive\n\n"));
    }
    BOOST_TEST(events == 100);
}

BOOST_AUTO_TEST_SUITE_END()
