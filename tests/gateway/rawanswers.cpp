#include "gateway/rawanswerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

constexpr const char *Refusal = "HTTP/1.1 503 Service Unavailable\r\nBasilbend-Attempt-Id: r-1\r\nBasilbend-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

struct SingleEndpointFixture : RawAnswerFixture {
    SingleEndpointFixture()
        : RawAnswerFixture(1)
    {
    }
};

}

BOOST_AUTO_TEST_SUITE(gateway, *boost::unit_test::label("gateway"))

// Guards against a non-idempotent request that runs twice: the late copy of a refusal is taken for the response to the next sending of
// the request, which the endpoint runs.
BOOST_FIXTURE_TEST_CASE(a_late_copy_of_a_refusal_does_not_refuse_the_next_sending_of_the_request, SingleEndpointFixture)
{
    int executed = 0;
    int received = 0;
    endpoints.front()->onRequest = [&](const ConnectionPtr &connection) {
        if (++received == 1) {
            connection->write(Refusal);
            return;
        }
        if (connection->requests > 1) {
            connection->write(Refusal);
        }
        ++executed;
        connection->write(RawAnswerFixture::WholeAnswer);
    };
    send("/once/a");
    run(2000);
    BOOST_TEST(status == 200);
    BOOST_TEST(body == "whole");
    BOOST_TEST(executed == 1);
    BOOST_TEST(received == 2);
}

// Guards against a stream that ends as complete before its last event: its endpoint is killed while the response has no length.
BOOST_AUTO_TEST_CASE(a_stream_without_a_length_is_resumed_if_its_endpoint_was_killed)
{
    for (const std::string lastBytes : {"", "id: 3\ndata: ha"}) {
        RawAnswerFixture fixture;
        fixture.script(
            [&lastBytes](RawEndpoint &endpoint, const RawEndpoint::ConnectionPtr &connection) {
                connection->write(RawEndpoint::head("r-1") + RawAnswerFixture::event(1) + RawAnswerFixture::event(2) + lastBytes);
                endpoint.kill();
            },
            [](const RawEndpoint::ConnectionPtr &connection) {
                BOOST_TEST(connection->request.fields.value("Last-Event-Id") == "2");
                connection->write(RawEndpoint::head("r-1") + RawAnswerFixture::event(3) + RawAnswerFixture::event(4));
                connection->close();
            });
        fixture.send("/kept/a");
        fixture.run(2000);
        BOOST_REQUIRE(fixture.outcome.has_value());
        BOOST_TEST((*fixture.outcome == CallOutcome::Complete));
        BOOST_TEST(fixture.body == RawAnswerFixture::event(1) + RawAnswerFixture::event(2) + RawAnswerFixture::event(3) + RawAnswerFixture::event(4));
        BOOST_TEST(fixture.runs() == 2U);
    }
}

// Guards against a client that takes part of a stream for all of it: the stream may not be resumed, so it is broken off.
BOOST_FIXTURE_TEST_CASE(a_stream_without_a_length_that_cannot_be_resumed_is_broken_off_if_its_endpoint_was_killed, RawAnswerFixture)
{
    script(
        [](RawEndpoint &endpoint, const ConnectionPtr &connection) {
            connection->write(RawEndpoint::head("r-1") + RawAnswerFixture::event(1) + RawAnswerFixture::event(2));
            endpoint.kill();
        },
        [](const ConnectionPtr &) {});
    send("/stream/a");
    run(2000);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((*outcome == CallOutcome::Broken));
    BOOST_TEST(runs() == 1U);
}

// Guards against a whole answer that is lost or run again because it has no length.
BOOST_AUTO_TEST_CASE(a_response_without_a_length_is_delivered_if_its_endpoint_still_runs)
{
    for (const std::string path : {"/once/a", "/often/a", "/kept/a", "/stream/a"}) {
        RawAnswerFixture fixture;
        fixture.script(
            [](RawEndpoint &, const RawEndpoint::ConnectionPtr &connection) {
                connection->write(RawEndpoint::head("r-1") + RawAnswerFixture::event(1) + RawAnswerFixture::event(2));
                connection->close();
            },
            [](const RawEndpoint::ConnectionPtr &) {});
        fixture.send(path);
        fixture.run(2000);
        BOOST_REQUIRE(fixture.outcome.has_value());
        BOOST_TEST((*fixture.outcome == CallOutcome::Complete), path);
        BOOST_TEST(fixture.status == 200, path);
        BOOST_TEST(fixture.body == RawAnswerFixture::event(1) + RawAnswerFixture::event(2), path);
        BOOST_TEST(fixture.runs() == 1U, path);
    }
}

// Guards against a success with part of the endpoint's body: the endpoint is killed while its response has no length.
BOOST_FIXTURE_TEST_CASE(an_idempotent_request_runs_again_if_its_endpoint_was_killed_within_a_response_without_a_length, RawAnswerFixture)
{
    script(
        [](RawEndpoint &endpoint, const ConnectionPtr &connection) {
            connection->write(RawEndpoint::head("r-1") + "who");
            endpoint.kill();
        },
        [](const ConnectionPtr &connection) { connection->write(RawAnswerFixture::WholeAnswer); });
    send("/often/a");
    run(2000);
    BOOST_TEST(status == 200);
    BOOST_TEST(body == "whole");
    BOOST_TEST(runs() == 2U);
}

// Guards against a success with part of the endpoint's body for a request that may not run again.
BOOST_FIXTURE_TEST_CASE(a_non_idempotent_request_fails_if_its_endpoint_was_killed_within_a_response_without_a_length, RawAnswerFixture)
{
    script(
        [](RawEndpoint &endpoint, const ConnectionPtr &connection) {
            connection->write(RawEndpoint::head("r-1") + "who");
            endpoint.kill();
        },
        [](const ConnectionPtr &connection) { connection->write(RawAnswerFixture::WholeAnswer); });
    send("/once/a");
    run(2000);
    BOOST_TEST(status == 502);
    BOOST_TEST(runs() == 1U);
}

// Guards against a refusal without a length that counts as a run: its head says that the request did not run.
BOOST_FIXTURE_TEST_CASE(a_refusal_without_a_length_is_not_a_run, RawAnswerFixture)
{
    script(
        [](RawEndpoint &endpoint, const ConnectionPtr &connection) {
            connection->write("HTTP/1.1 503 Service Unavailable\r\nBasilbend-Attempt-Id: r-1\r\nBasilbend-Not-Executed: 1\r\n\r\n");
            endpoint.kill();
        },
        [](const ConnectionPtr &connection) { connection->write(RawAnswerFixture::WholeAnswer); });
    send("/once/a");
    run(2000);
    BOOST_TEST(status == 200);
    BOOST_TEST(body == "whole");
}

// Guards against a gateway that runs out of memory: an endpoint sends whole events without end, and clients do not read them.
BOOST_FIXTURE_TEST_CASE(unread_streams_together_stay_within_the_buffer_budget, SingleEndpointFixture)
{
    constexpr std::size_t Streams = 30;
    const auto bytes = "id: 1\ndata: " + std::string(60'000, 'x') + "\n\n";
    std::vector<ConnectionPtr> open;
    endpoints.front()->onRequest = [&open](const ConnectionPtr &connection) {
        connection->write(RawEndpoint::head("r-1"));
        connection->socket.non_blocking(true);
        open.push_back(connection);
    };
    const std::string request = "POST /stream/a HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k\r\nBasilbend-Attempt-Id: r-1\r\nContent-Length: 1\r\n\r\nb";
    std::vector<asio::ip::tcp::socket> clients;
    for (std::size_t i = 0; i < Streams; ++i) {
        auto &client = clients.emplace_back(io);
        client.open(asio::ip::tcp::v4());
        client.set_option(asio::socket_base::receive_buffer_size(4096));
        client.connect({asio::ip::make_address("127.0.0.1"), gateway->server.port()});
        asio::write(client, asio::buffer(request));
    }
    std::size_t most = 0;
    std::uint64_t event = 0;
    for (int round = 0; round < 400; ++round) {
        for (const auto &connection : open) {
            asio::error_code ec;
            connection->socket.write_some(asio::buffer("id: " + std::to_string(++event) + bytes.substr(5)), ec);
        }
        io.restart();
        io.run_for(std::chrono::milliseconds(2));
        time.advance(Milliseconds(1));
        most = std::max(most, gateway->context.answerBudget.bufferedBytes());
    }
    BOOST_TEST(open.size() == Streams);
    BOOST_TEST(most > 0U);
    BOOST_TEST(most <= AnswerBudget::MaxBufferedBytes + Streams * AnswerBudget::GuaranteedResponseBytes);
}

// Guards against a client that sends a request again which has run: the endpoint answers 503 and does not say that it did not run it.
BOOST_FIXTURE_TEST_CASE(a_503_that_may_have_run_is_no_promise_to_the_client, RawAnswerFixture)
{
    script(
        [](RawEndpoint &, const ConnectionPtr &connection) {
            connection->write("HTTP/1.1 503 Service Unavailable\r\nBasilbend-Attempt-Id: r-1\r\nBasilbend-Server-Signature: s\r\nContent-Length: 0\r\n\r\n");
        },
        [](const ConnectionPtr &connection) { connection->write(RawAnswerFixture::WholeAnswer); });
    send("/once/a");
    run(2000);
    BOOST_TEST(status == 502);
    BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
