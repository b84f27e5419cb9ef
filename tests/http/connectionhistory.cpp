#include "base/systemclock.h"
#include "http/rawendpoint.h"
#include "http/webclient.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

struct HistoryFixture {
    asio::io_context io;
    WebClient client{io, systemNow};
    RawEndpoint endpoint{io, "i-1", 1000};

    HistoryFixture()
    {
        endpoint.onRequest = [](const RawEndpoint::ConnectionPtr &connection) { connection->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); };
    }

    void send(ConnectionHistory &history)
    {
        bool hasEnded = false;
        CallHooks hooks;
        hooks.onEnd = [&hasEnded](CallOutcome) { hasEnded = true; };
        const auto address = asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), endpoint.port());
        const auto call = client.sendAgain(address, {"POST", "/", {{"Host", "h"}}, {}}, std::move(hooks), Milliseconds(500), history);
        for (int i = 0; i < 200 && !hasEnded; ++i) {
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
        }
        BOOST_REQUIRE(hasEnded);
    }
};

}

BOOST_AUTO_TEST_SUITE(http, *boost::unit_test::label("http"))

// Guards against a late copy of the response to an earlier sending of a request: other requests have used the connection since.
BOOST_FIXTURE_TEST_CASE(a_request_is_not_sent_again_on_a_connection_that_has_carried_it, HistoryFixture)
{
    ConnectionHistory request;
    ConnectionHistory other;
    send(request);
    send(other);
    BOOST_TEST(endpoint.connectionCount() == 1U);
    send(request);
    BOOST_TEST(endpoint.connectionCount() == 2U);
}

// Guards against a new connection for each sending, which endpoints limit: a connection of other requests is as good.
BOOST_FIXTURE_TEST_CASE(a_request_is_sent_again_on_an_idle_connection_that_has_not_carried_it, HistoryFixture)
{
    ConnectionHistory request;
    ConnectionHistory first;
    ConnectionHistory second;
    send(request);
    send(request);
    send(first);
    send(second);
    BOOST_TEST(endpoint.connectionCount() == 2U);
    send(request);
    BOOST_TEST(endpoint.connectionCount() == 3U);
    ConnectionHistory third;
    send(third);
    BOOST_TEST(endpoint.connectionCount() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
