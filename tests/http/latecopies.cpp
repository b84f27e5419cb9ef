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

std::string answer(const std::string &id, const std::string &body)
{
    const auto field = id.empty() ? std::string() : "X-Id: " + id + "\r\n";
    return "HTTP/1.1 200 OK\r\n" + field + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server that responds to the first request on a connection normally, and to the next ones with the given bytes in two writes.
class LateServer
{
public:
    LateServer(asio::io_context &io, std::string late, std::size_t cut)
        : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , m_late(std::move(late))
        , m_cut(cut)
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
                asio::write(connection->socket, asio::buffer(answer("first", "one")), failed);
            } else {
                asio::write(connection->socket, asio::buffer(m_late.substr(0, m_cut)), failed);
                connection->pause.expires_after(std::chrono::milliseconds(3));
                connection->pause.async_wait([this, connection](const asio::error_code &) {
                    asio::error_code late;
                    asio::write(connection->socket, asio::buffer(m_late.substr(m_cut)), late);
                });
            }
            read(connection);
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_late;
    std::size_t m_cut;
};

struct Outcome {
    std::optional<CallEnd> end;
    std::string body;
};

struct LateFixture {
    asio::io_context io;
    WebClient client{io, systemNow};

    ClientCall call(LateServer &server, const std::string &id, Outcome &outcome)
    {
        CallHooks hooks;
        hooks.owner = [id](const ResponseHead &head) {
            const auto named = head.fields.value("X-Id");
            return named.empty() ? ResponseOwner::Unnamed : named == id ? ResponseOwner::Mine : ResponseOwner::Other;
        };
        hooks.onBody = [&outcome](std::string_view data) { outcome.body.append(data); };
        hooks.onEnd = [&outcome](CallEnd end) { outcome.end = end; };
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
    Outcome secondCall(const std::string &late, std::size_t cut)
    {
        LateServer server(io, late, cut);
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
// It is split into two writes at different offsets.
BOOST_FIXTURE_TEST_CASE(a_late_copy_that_names_its_call_is_skipped, LateFixture)
{
    const auto late = answer("first", "one") + answer("second", "two");
    for (std::size_t cut = 0; cut <= late.size(); cut += 7) {
        const auto outcome = secondCall(late, cut);
        BOOST_REQUIRE(outcome.end.has_value());
        BOOST_TEST((*outcome.end == CallEnd::Complete), cut);
        BOOST_TEST(outcome.body == "two", cut);
    }
}

BOOST_FIXTURE_TEST_CASE(a_late_copy_that_names_no_call_breaks_the_call, LateFixture)
{
    const auto late = answer("", "one") + answer("second", "two");
    for (std::size_t cut = 0; cut <= late.size(); cut += 11) {
        const auto outcome = secondCall(late, cut);
        BOOST_REQUIRE(outcome.end.has_value());
        BOOST_TEST((*outcome.end == CallEnd::Broken), cut);
        BOOST_TEST(outcome.body.empty(), cut);
    }
}

BOOST_FIXTURE_TEST_CASE(a_late_copy_that_is_cut_gives_no_answer, LateFixture)
{
    const auto copy = answer("first", "one");
    const auto outcome = secondCall(copy.substr(0, copy.size() - 2) + answer("second", "two"), 10);
    BOOST_TEST((outcome.end && *outcome.end != CallEnd::Complete));
    BOOST_TEST(outcome.body.empty());
}

BOOST_AUTO_TEST_SUITE_END()
