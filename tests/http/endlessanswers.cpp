#include "http/hostileserver.h"

#include "base/systemclock.h"
#include "http/eventstream.h"
#include "http/webclient.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace Basilbend;

namespace
{

/// Upper bound on the bytes that a server can send of an invalid response, including those in socket buffers.
constexpr std::size_t MostTakenBytes = 12 * 1024 * 1024;

struct EndlessFixture {
    asio::io_context io;
    WebClient client{io, systemNow};
    std::optional<CallEnd> end;
    ClientCall call;

    /// Sends a request and runs the loop until the call has ended or the server has sent twice the allowed bytes.
    void ask(HostileServer &server)
    {
        CallHooks hooks;
        hooks.owner = [](const ResponseHead &head) { return head.status == 418 ? ResponseOwner::Other : ResponseOwner::Mine; };
        hooks.onHead = [](const ResponseHead &) {};
        hooks.onBody = [](std::string_view) {};
        hooks.onEnd = [this](CallEnd how) { end = how; };
        call = client.send(server.address(), {"GET", "/", {{"Host", "a"}}, {}}, std::move(hooks), Milliseconds(500));
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!end && server.sentBytes < 2 * MostTakenBytes && std::chrono::steady_clock::now() < until) {
            io.restart();
            io.run_for(std::chrono::milliseconds(5));
        }
    }

    void expectBroken(HostileServer &server)
    {
        ask(server);
        BOOST_REQUIRE(end.has_value());
        BOOST_TEST((*end == CallEnd::Broken));
        BOOST_TEST(server.sentBytes < MostTakenBytes);
    }
};

}

BOOST_AUTO_TEST_SUITE(http, *boost::unit_test::label("http"))

// These tests guard against a faulty server that sends invalid data until the client closes: the client must close.
BOOST_FIXTURE_TEST_CASE(a_head_without_end_is_cut_off, EndlessFixture)
{
    HostileServer server(io, "HTTP/1.1 200 OK\r\n", "X-Field: " + std::string(1000, 'x') + "\r\n");
    expectBroken(server);
}

BOOST_FIXTURE_TEST_CASE(a_field_without_end_is_cut_off, EndlessFixture)
{
    HostileServer server(io, "HTTP/1.1 200 OK\r\nX-Field: ", std::string(4000, 'x'));
    expectBroken(server);
}

BOOST_FIXTURE_TEST_CASE(bytes_that_are_no_http_are_cut_off, EndlessFixture)
{
    HostileServer server(io, "nothing", std::string(4000, 'y'));
    expectBroken(server);
}

BOOST_FIXTURE_TEST_CASE(interim_responses_without_end_are_cut_off, EndlessFixture)
{
    HostileServer server(io, "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX-Field: " + std::string(1000, 'x') + "\r\n\r\n");
    expectBroken(server);
}

BOOST_FIXTURE_TEST_CASE(answers_to_other_requests_without_end_are_cut_off, EndlessFixture)
{
    HostileServer server(io, "", "HTTP/1.1 418 Other\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x'));
    expectBroken(server);
}

BOOST_FIXTURE_TEST_CASE(an_endless_answer_to_another_request_is_cut_off, EndlessFixture)
{
    HostileServer server(io, "HTTP/1.1 418 Other\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + std::string(1000, 'x') + "\r\n");
    expectBroken(server);
}

BOOST_FIXTURE_TEST_CASE(trailers_without_end_are_cut_off, EndlessFixture)
{
    HostileServer server(io, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: " + std::string(1000, 'x') + "\r\n");
    expectBroken(server);
}

BOOST_FIXTURE_TEST_CASE(a_chunk_extension_without_end_is_cut_off, EndlessFixture)
{
    HostileServer server(io, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", std::string(4000, 'x'));
    expectBroken(server);
}

BOOST_AUTO_TEST_CASE(a_line_or_an_event_without_end_fails_its_stream)
{
    int events = 0;
    EventStream line([&events](const StreamEvent &) { ++events; });
    EventStream event([&events](const StreamEvent &) { ++events; });
    EventStream comments([&events](const StreamEvent &) { ++events; });
    BOOST_TEST(line.feed("id: 1\ndata: a\n\n"));
    std::size_t taken = 0;
    for (; taken < 4 * EventStream::MaxEventBytes && line.feed(std::string(1000, 'x')); taken += 1000) {}
    BOOST_TEST(taken <= EventStream::MaxEventBytes);
    taken = 0;
    for (; taken < 4 * EventStream::MaxEventBytes && event.feed("data: " + std::string(1000, 'x') + "\n"); taken += 1000) {}
    BOOST_TEST(taken <= EventStream::MaxEventBytes);
    taken = 0;
    for (; taken < 4 * EventStream::MaxEventBytes && comments.feed(": keep-alive\n"); taken += 13) {}
    BOOST_TEST(taken <= EventStream::MaxEventBytes);
    BOOST_TEST(events == 1);
    BOOST_TEST(!line.feed("\n\n"));
}

BOOST_AUTO_TEST_SUITE_END()
