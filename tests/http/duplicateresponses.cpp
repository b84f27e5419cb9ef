#include "base/systemclock.h"
#include "http/webclient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace Basilbend;

namespace
{

std::string makeResponse(const std::string &id, const std::string &body)
{
    const auto field = id.empty() ? std::string() : "X-Id: " + id + "\r\n";
    return "HTTP/1.1 200 OK\r\n" + field + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server that responds to the first request on a connection normally, and to the next ones with the given bytes in two writes.
class DuplicateResponseServer
{
public:
    DuplicateResponseServer(asio::io_context &io, std::string secondResponse, std::size_t splitAt)
        : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , m_secondResponse(std::move(secondResponse))
        , m_splitAt(splitAt)
    {
        accept();
    }

    asio::ip::tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

    int connections = 0;

private:
    struct Connection {
        explicit Connection(asio::ip::tcp::socket from)
            : socket(std::move(from))
            , pause(socket.get_executor())
        {
        }
        asio::ip::tcp::socket socket;
        asio::steady_timer pause;
        std::string input = std::string(4096, 0);
        int requests = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
            if (!ec) {
                ++connections;
                read(std::make_shared<Connection>(std::move(socket)));
                accept();
            }
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->input), [this, connection](const asio::error_code &ec, std::size_t) {
            if (ec) {
                return;
            }
            asio::error_code failed;
            if (++connection->requests == 1) {
                asio::write(connection->socket, asio::buffer(makeResponse("first", "one")), failed);
            } else {
                asio::write(connection->socket, asio::buffer(m_secondResponse.substr(0, m_splitAt)), failed);
                connection->pause.expires_after(std::chrono::milliseconds(3));
                connection->pause.async_wait([this, connection](const asio::error_code &) {
                    asio::error_code ignored;
                    asio::write(connection->socket, asio::buffer(m_secondResponse.substr(m_splitAt)), ignored);
                });
            }
            read(connection);
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_secondResponse;
    std::size_t m_splitAt;
};

struct Outcome {
    std::optional<CallOutcome> end;
    std::string body;
};

struct DuplicateResponseFixture {
    asio::io_context io;
    WebClient client{io, systemNow};

    ClientCall call(DuplicateResponseServer &server, const std::string &id, Outcome &outcome)
    {
        CallHooks hooks;
        hooks.matchResponse = [id](const ResponseHead &head) {
            const auto responseId = head.fields.value("X-Id");
            return responseId.empty() ? ResponseMatch::Unidentified : responseId == id ? ResponseMatch::ThisCall : ResponseMatch::OtherCall;
        };
        hooks.onBody = [&outcome](std::string_view data) { outcome.body.append(data); };
        hooks.onEnd = [&outcome](CallOutcome end) { outcome.end = end; };
        return client.send(server.address(), {"GET", "/", {{"Host", "h"}}, {}}, std::move(hooks), Milliseconds(500));
    }

    void runUntilEnd(const Outcome &outcome)
    {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        while (!outcome.end && std::chrono::steady_clock::now() < until) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(10));
        }
    }

    /// Returns the outcome of the second call on a connection when the server sends these bytes, split at the given offset.
    Outcome secondCall(const std::string &secondResponse, std::size_t splitAt)
    {
        DuplicateResponseServer server(io, secondResponse, splitAt);
        Outcome first;
        const auto firstCall = call(server, "first", first);
        runUntilEnd(first);
        BOOST_REQUIRE(first.end.has_value());
        BOOST_TEST(first.body == "one");
        Outcome second;
        const auto secondCall = call(server, "second", second);
        runUntilEnd(second);
        BOOST_TEST(server.connections == 1);
        return second;
    }
};

}

BOOST_AUTO_TEST_SUITE(http, *boost::unit_test::label("http"))

// Guards against a call that receives the response of an earlier one: a duplicate response arrives late on a reused connection.
// The server sends the duplicate and the expected response in two writes, split at each offset that is a multiple of 7 bytes.
BOOST_FIXTURE_TEST_CASE(a_late_duplicate_response_that_identifies_its_call_is_skipped, DuplicateResponseFixture)
{
    const auto secondResponse = makeResponse("first", "one") + makeResponse("second", "two");
    for (std::size_t splitAt = 0; splitAt <= secondResponse.size(); splitAt += 7) {
        const auto outcome = secondCall(secondResponse, splitAt);
        BOOST_REQUIRE(outcome.end.has_value());
        BOOST_TEST((*outcome.end == CallOutcome::Complete), splitAt);
        BOOST_TEST(outcome.body == "two", splitAt);
    }
}

// The two responses are sent in two writes, split at each offset that is a multiple of 11 bytes.
BOOST_FIXTURE_TEST_CASE(a_late_duplicate_response_without_a_call_id_ends_the_call_as_broken, DuplicateResponseFixture)
{
    const auto secondResponse = makeResponse("", "one") + makeResponse("second", "two");
    for (std::size_t splitAt = 0; splitAt <= secondResponse.size(); splitAt += 11) {
        const auto outcome = secondCall(secondResponse, splitAt);
        BOOST_REQUIRE(outcome.end.has_value());
        BOOST_TEST((*outcome.end == CallOutcome::Broken), splitAt);
        BOOST_TEST(outcome.body.empty(), splitAt);
    }
}

BOOST_FIXTURE_TEST_CASE(a_truncated_duplicate_response_does_not_complete_the_call, DuplicateResponseFixture)
{
    const auto copy = makeResponse("first", "one");
    const auto outcome = secondCall(copy.substr(0, copy.size() - 2) + makeResponse("second", "two"), 10);
    BOOST_TEST((outcome.end && *outcome.end != CallOutcome::Complete));
    BOOST_TEST(outcome.body.empty());
}

BOOST_AUTO_TEST_SUITE_END()
