#include "scheduling/itemrun.h"

#include "base/systemclock.h"
#include "http/rawendpoint.h"
#include "http/scriptedendpoint.h"
#include "http/socketoptions.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace Basilbend;

namespace
{

constexpr std::int64_t StartedAtMs = 1000;

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

/// Runs an item at an endpoint whose answers have no length.
struct UnframedRunFixture {
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    WebClient client{io, systemNow};
    RawEndpoint endpoint{io, "i-1", StartedAtMs};
    int events = 0;
    std::string body;

    /// Returns how the run ended, or nothing if it did not.
    std::optional<RunEnd> run(std::function<void(const RawEndpoint::ConnectionPtr &)> onRequest)
    {
        endpoint.onRequest = std::move(onRequest);
        EndpointRecord record;
        record.id = "i-1";
        record.startedAtMs = StartedAtMs;
        record.address = "127.0.0.1:" + std::to_string(endpoint.port());
        std::optional<RunEnd> end;
        ItemRunHooks hooks;
        hooks.onEvent = [this](std::uint64_t, const std::string &, std::uint64_t) { return ++events > 0; };
        hooks.onEnd = [&end](RunEnd how, int) { end = how; };
        ItemRun run(client, virtualLoop(time), record, 1, hooks);
        BatchItem item;
        item.id = "i";
        item.path = "/p";
        item.body = body;
        BatchIndex batch;
        batch.host = "a.example";
        ConnectionHistory connections;
        run.start(item, batch, {}, connections);
        for (int i = 0; i < 200 && !end; ++i) {
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
            time.advance(Milliseconds(10));
        }
        return end;
    }

    static void writeEvents(const RawEndpoint::ConnectionPtr &connection, const std::string &lastBytes)
    {
        connection->write(RawEndpoint::head("i") + event(1) + event(2) + lastBytes);
    }
};

}

BOOST_AUTO_TEST_SUITE(scheduling, *boost::unit_test::label("scheduling"))

// Guards against items that are sent to an endpoint after it has announced in a response that it leaves.
BOOST_AUTO_TEST_CASE(a_run_reports_that_its_endpoint_leaves_and_continues)
{
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    ScriptedEndpoint endpoint{io, store, "i-1"};
    endpoint.onRequest = [](const ExchangePtr &exchange) {
        exchange->beginStream({200, {{"Content-Type", "text/event-stream"}, {"Basilbend-Server-Signature", "s"}, {"Server-Leaving", "1"}}});
        exchange->sendChunk("id: 1\ndata: d\n\n");
        exchange->endStream();
    };
    WebClient client{io, systemNow};
    EndpointRecord record;
    record.id = "i-1";
    record.address = "127.0.0.1:" + std::to_string(endpoint.server.port());
    int leaving = 0;
    int events = 0;
    std::optional<RunEnd> end;
    ItemRunHooks hooks;
    hooks.onEvent = [&events](std::uint64_t, const std::string &, std::uint64_t) { return ++events > 0; };
    hooks.onEnd = [&end](RunEnd how, int) { end = how; };
    hooks.onEndpointLeaving = [&leaving] { ++leaving; };
    ItemRun run(client, virtualLoop(time), record, 1, hooks);
    BatchItem item;
    item.id = "i";
    item.path = "/p";
    BatchIndex batch;
    batch.host = "a.example";
    ConnectionHistory connections;
    run.start(item, batch, {}, connections);
    for (int i = 0; i < 100 && !end; ++i) {
        io.restart();
        io.run_for(std::chrono::milliseconds(2));
    }
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == RunEnd::Complete));
    BOOST_TEST(leaving == 1);
    BOOST_TEST(events == 1);
}

// Guards against an item that is completed with part of its text: its endpoint is killed within an event of a stream without a length.
BOOST_FIXTURE_TEST_CASE(a_stream_without_a_length_that_ends_within_an_event_is_broken, UnframedRunFixture)
{
    const auto end = run([](const RawEndpoint::ConnectionPtr &connection) {
        writeEvents(connection, "id: 3\ndata: ha");
        connection->close();
    });
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == RunEnd::Broken));
    BOOST_TEST(events == 2);
}

// Guards against an item that is completed with part of its text: its endpoint is killed between two events, so that nothing in the
// stream shows that it was cut.
BOOST_FIXTURE_TEST_CASE(a_stream_without_a_length_is_broken_if_its_endpoint_was_killed, UnframedRunFixture)
{
    const auto end = run([this](const RawEndpoint::ConnectionPtr &connection) {
        writeEvents(connection, {});
        endpoint.kill();
    });
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == RunEnd::Broken));
    BOOST_TEST(events == 2);
}

// Guards against an item that is completed with part of its text: the endpoint answers before it has read the item, and resets the connection
// while the rest is sent. It goes on running.
BOOST_FIXTURE_TEST_CASE(a_stream_without_a_length_is_broken_if_its_connection_is_reset_within_the_item, UnframedRunFixture)
{
    body = std::string(4 * 1024 * 1024, 'b');
    endpoint.onRequestHead = [](const RawEndpoint::ConnectionPtr &connection) {
        writeEvents(connection, {});
        resetConnection(connection->socket);
    };
    const auto end = run([](const RawEndpoint::ConnectionPtr &) {});
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == RunEnd::Broken));
    BOOST_TEST(events == 2);
}

// Guards against a process at the address of a killed endpoint that is taken for it: another endpoint, or the next start of the same one.
BOOST_AUTO_TEST_CASE(a_stream_without_a_length_is_broken_if_its_endpoint_was_killed_and_restarted)
{
    for (const auto &[id, startedAtMs] : {std::pair("i-2", StartedAtMs), std::pair("i-1", StartedAtMs + 1)}) {
        UnframedRunFixture fixture;
        const auto end = fixture.run([&fixture, id = id, startedAtMs = startedAtMs](const RawEndpoint::ConnectionPtr &connection) {
            UnframedRunFixture::writeEvents(connection, {});
            fixture.endpoint.kill();
            fixture.endpoint.restart(id, startedAtMs);
        });
        BOOST_REQUIRE(end.has_value());
        BOOST_TEST((*end == RunEnd::Broken));
        BOOST_TEST(fixture.endpoint.identityRequests == 1);
    }
}

// Guards against a whole answer that is lost and run again because it has no length.
BOOST_FIXTURE_TEST_CASE(a_stream_without_a_length_is_complete_if_its_endpoint_still_runs, UnframedRunFixture)
{
    const auto end = run([](const RawEndpoint::ConnectionPtr &connection) {
        writeEvents(connection, event(3));
        connection->close();
    });
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == RunEnd::Complete));
    BOOST_TEST(events == 3);
}

// Guards against a run that waits forever for an endpoint that can no longer be reached.
BOOST_FIXTURE_TEST_CASE(a_stream_without_a_length_is_broken_if_its_endpoint_stays_silent, UnframedRunFixture)
{
    const auto end = run([this](const RawEndpoint::ConnectionPtr &connection) {
        writeEvents(connection, {});
        endpoint.isSilent = true;
        connection->close();
    });
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == RunEnd::Broken));
}

// Guards against a leader that reads the body of a response without end: the response is no stream of events, so nothing of it is used.
BOOST_FIXTURE_TEST_CASE(an_endless_body_that_is_no_stream_of_events_ends_the_run, UnframedRunFixture)
{
    const auto end = run([](const RawEndpoint::ConnectionPtr &connection) {
        connection->write("HTTP/1.1 500 Internal Server Error\r\nBasilbend-Attempt-Id: i\r\nTransfer-Encoding: chunked\r\n\r\n");
        connection->repeat("3e80\r\n" + std::string(16'000, 'x') + "\r\n");
    });
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == RunEnd::Oversized));
}

// Guards against an item that is given up because its own time limit, and not an error of the endpoint, has ended its runs.
BOOST_FIXTURE_TEST_CASE(a_504_response_does_not_count_as_an_error_of_the_endpoint, UnframedRunFixture)
{
    const auto runWith = [this](const std::string &status) {
        return run([status](const RawEndpoint::ConnectionPtr &connection) {
            connection->write("HTTP/1.1 " + status + "\r\nBasilbend-Attempt-Id: i\r\nBasilbend-Server-Signature: s\r\nContent-Length: 0\r\n\r\n");
        });
    };
    const auto timedOut = runWith("504 Gateway Timeout");
    BOOST_REQUIRE(timedOut.has_value());
    BOOST_TEST((*timedOut == RunEnd::TimedOut));
    const auto failed = runWith("500 Internal Server Error");
    BOOST_REQUIRE(failed.has_value());
    BOOST_TEST((*failed == RunEnd::ServerError));
}

BOOST_AUTO_TEST_SUITE_END()
