#include "gateway/rawanswerfixture.h"
#include "http/socketoptions.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

/// More than a connection's buffers hold, so that the gateway is still sending the request when the response arrives.
constexpr std::size_t LongUploadBytes = 4 * 1024 * 1024;

constexpr const char *UnframedRefusal = "HTTP/1.1 503 Service Unavailable\r\nBasilbend-Attempt-Id: r-1\r\nBasilbend-Not-Executed: 1\r\n\r\n";

/// How an endpoint ends the connection of a response without a length.
enum class Ending {
    Reset,
    /// A close while part of the request has not been read, which the system turns into a reset.
    CloseUnread,
    /// An orderly end of the response; the connection stays open in the other direction, and the rest of the request is not read.
    Shutdown,
};

std::string name(Ending ending)
{
    return ending == Ending::Reset ? "reset" : ending == Ending::CloseUnread ? "close" : "shutdown";
}

void endConnection(const RawEndpoint::ConnectionPtr &connection, Ending ending)
{
    asio::error_code ec;
    switch (ending) {
    case Ending::Reset:
        resetConnection(connection->socket);
        break;
    case Ending::CloseUnread:
        connection->close();
        break;
    case Ending::Shutdown:
        connection->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
        break;
    }
}

/// The first request, at whichever endpoint it arrives, is answered as soon as its head has been read; later ones are answered as a whole.
/// The endpoint that answers early goes on running, so it answers who it is.
struct EarlyAnswerFixture : RawAnswerFixture {
    void answerFirst(const std::string &bytes, Ending ending)
    {
        auto hasFirst = std::make_shared<bool>(false);
        for (const auto &endpoint : endpoints) {
            endpoint->onRequestHead = [this, hasFirst, bytes, ending, raw = endpoint.get()](const ConnectionPtr &connection) {
                ++heads;
                if (!*hasFirst) {
                    *hasFirst = true;
                    faulty = raw->id;
                    connection->write(bytes);
                    endConnection(connection, ending);
                }
            };
            endpoint->onRequest = [](const ConnectionPtr &connection) {
                const bool isResumed = !connection->request.fields.value("Last-Event-Id").empty();
                connection->write(isResumed ? RawEndpoint::head("r-1") + event(3) + event(4) : std::string(WholeAnswer));
                if (isResumed) {
                    connection->close();
                }
            };
        }
    }

    bool isFaultySuspended() const
    {
        return !gateway->picker.isAvailable(faulty, time.now());
    }

    int heads = 0;
    /// Id of the endpoint that has answered early.
    std::string faulty;
};

const std::string NamedFields = "Basilbend-Attempt-Id: r-1\r\nBasilbend-Server-Signature: s\r\n";
const std::string SignedHead = "HTTP/1.1 200 OK\r\n" + NamedFields;
const std::string OddBody = "Content-Length: 3\r\n\r\nodd";
const std::string OddChunks = "3\r\nodd\r\n0\r\n\r\n";

/// Lets one endpoint answer with each of the responses, on each kind of route. No client may get it, a request that may run again runs elsewhere,
/// and the endpoint counts as faulty. isHeadValid: only the body is invalid, so a stream begins and is broken off.
void checkReachesNoClient(const std::vector<std::string> &responses, bool isHeadValid = false)
{
    for (const auto &bytes : responses) {
        for (const std::string path : {"/once/a", "/often/a", "/kept/a", "/stream/a"}) {
            RawAnswerFixture fixture;
            std::string faulty;
            fixture.script(
                [&](RawEndpoint &endpoint, const RawEndpoint::ConnectionPtr &connection) {
                    faulty = endpoint.id;
                    connection->write(bytes);
                    connection->close();
                },
                [](const RawEndpoint::ConnectionPtr &connection) { connection->write(RawAnswerFixture::WholeAnswer); });
            fixture.send(path);
            fixture.run(4000);
            auto seen = path;
            seen.append(": ").append(bytes);
            BOOST_REQUIRE_MESSAGE(fixture.outcome.has_value(), seen);
            BOOST_TEST(fixture.body.find("odd") == std::string::npos, seen);
            BOOST_TEST(!fixture.gateway->picker.isAvailable(faulty, fixture.time.now()), seen);
            if (isHeadValid && path == "/stream/a") {
                BOOST_TEST((*fixture.outcome == CallOutcome::Broken), seen);
                BOOST_TEST(fixture.runs() == 1U, seen);
            } else if (path == "/once/a" || path == "/stream/a") {
                BOOST_TEST(fixture.status == 502, seen);
                BOOST_TEST(fixture.runs() == 1U, seen);
            } else {
                BOOST_TEST(fixture.status == 200, seen);
                BOOST_TEST(fixture.runs() == 2U, seen);
            }
        }
    }
}

}

BOOST_AUTO_TEST_SUITE(gateway, *boost::unit_test::label("gateway"))

// Guards against a client that gets part of a response as a complete one (MIXED): the endpoint answers a long upload at once, without a
// length, and its connection ends while the upload is being sent.
BOOST_AUTO_TEST_CASE(a_response_without_a_length_is_not_whole_if_its_connection_ends_within_the_upload)
{
    for (const auto ending : {Ending::Reset, Ending::CloseUnread, Ending::Shutdown}) {
        for (const std::string path : {"/once/a", "/often/a", "/kept/a", "/stream/a"}) {
            EarlyAnswerFixture fixture;
            fixture.answerFirst(RawEndpoint::head("r-1") + RawAnswerFixture::event(1) + RawAnswerFixture::event(2), ending);
            fixture.send(path, std::string(LongUploadBytes, 'b'));
            fixture.run(4000);
            const auto seen = path + " " + name(ending);
            BOOST_REQUIRE_MESSAGE(fixture.outcome.has_value(), seen);
            const bool isComplete = *fixture.outcome == CallOutcome::Complete;
            if (path == "/once/a") {
                BOOST_TEST(fixture.status == 502, seen);
                BOOST_TEST(fixture.heads == 1, seen);
                BOOST_TEST(fixture.isFaultySuspended(), seen);
            } else if (path == "/often/a") {
                BOOST_TEST(isComplete, seen);
                BOOST_TEST(fixture.status == 200, seen);
                BOOST_TEST(fixture.body == "whole", seen);
            } else if (path == "/kept/a") {
                BOOST_TEST(isComplete, seen);
                BOOST_TEST(fixture.body == RawAnswerFixture::event(1) + RawAnswerFixture::event(2) + RawAnswerFixture::event(3) + RawAnswerFixture::event(4),
                           seen);
            } else {
                BOOST_TEST(!isComplete, seen);
                BOOST_TEST(fixture.heads == 1, seen);
                BOOST_TEST(fixture.isFaultySuspended(), seen);
            }
        }
    }
}

// Guards against a refusal of a long upload that counts as a run: its head says that the request did not run, however its connection ends.
BOOST_AUTO_TEST_CASE(a_refusal_without_a_length_is_not_a_run_if_its_connection_ends_within_the_upload)
{
    for (const auto ending : {Ending::Reset, Ending::CloseUnread, Ending::Shutdown}) {
        EarlyAnswerFixture fixture;
        fixture.answerFirst(UnframedRefusal, ending);
        fixture.send("/once/a", std::string(LongUploadBytes, 'b'));
        fixture.run(4000);
        BOOST_TEST(fixture.status == 200, name(ending));
        BOOST_TEST(fixture.body == "whole", name(ending));
        BOOST_TEST(fixture.heads == 2, name(ending));
    }
}

// Guards against part of a response that passes for all of it: its connection is reset after the whole request was sent, so that the read side
// takes the error.
BOOST_AUTO_TEST_CASE(a_response_without_a_length_is_not_whole_if_its_connection_is_reset_after_the_request)
{
    const auto part = RawEndpoint::head("r-1") + RawAnswerFixture::event(1) + RawAnswerFixture::event(2);
    for (const std::string path : {"/once/a", "/often/a", "/kept/a", "/stream/a"}) {
        RawAnswerFixture fixture;
        fixture.script(
            [&part](RawEndpoint &, const RawEndpoint::ConnectionPtr &connection) {
                connection->write(part);
                resetConnection(connection->socket);
            },
            [](const RawEndpoint::ConnectionPtr &connection) { connection->write(RawAnswerFixture::WholeAnswer); });
        fixture.send(path);
        fixture.run(4000);
        BOOST_REQUIRE_MESSAGE(fixture.outcome.has_value(), path);
        if (path == "/once/a") {
            BOOST_TEST(fixture.status == 502, path);
            BOOST_TEST(fixture.runs() == 1U, path);
        } else if (path == "/stream/a") {
            BOOST_TEST((*fixture.outcome == CallOutcome::Broken), path);
            BOOST_TEST(fixture.runs() == 1U, path);
        } else {
            BOOST_TEST((*fixture.outcome == CallOutcome::Complete), path);
            BOOST_TEST(fixture.runs() == 2U, path);
        }
        if (path == "/often/a") {
            BOOST_TEST(fixture.body == "whole", path);
        }
    }
}

// Guards against a refusal that counts as a run because the read side, not the write side, takes the error of the reset.
BOOST_AUTO_TEST_CASE(a_refusal_without_a_length_is_not_a_run_if_its_connection_is_reset_after_the_request)
{
    RawAnswerFixture fixture;
    fixture.script(
        [](RawEndpoint &, const RawEndpoint::ConnectionPtr &connection) {
            connection->write(UnframedRefusal);
            resetConnection(connection->socket);
        },
        [](const RawEndpoint::ConnectionPtr &connection) { connection->write(RawAnswerFixture::WholeAnswer); });
    fixture.send("/once/a");
    fixture.run(4000);
    BOOST_TEST(fixture.status == 200);
    BOOST_TEST(fixture.body == "whole");
    BOOST_TEST(fixture.runs() == 2U);
}

// Guards against a whole early response that is lost, because the upload that it answers could not be sent: its length shows that it is whole.
BOOST_AUTO_TEST_CASE(a_response_with_a_length_is_delivered_if_its_connection_ends_within_the_upload)
{
    for (const auto ending : {Ending::Reset, Ending::CloseUnread, Ending::Shutdown}) {
        EarlyAnswerFixture fixture;
        fixture.answerFirst("HTTP/1.1 413 Content Too Large\r\nBasilbend-Attempt-Id: r-1\r\nBasilbend-Server-Signature: s\r\nContent-Length: 4\r\n\r\nlong",
                            ending);
        fixture.send("/once/a", std::string(LongUploadBytes, 'b'));
        fixture.run(4000);
        BOOST_TEST(fixture.status == 413, name(ending));
        BOOST_TEST(fixture.body == "long", name(ending));
        BOOST_TEST(fixture.heads == 1, name(ending));
    }
}

// Guards against a client that gets a response without a valid status as an answer, or what follows a status of 000 (MIXED).
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_status_line_reaches_no_client)
{
    checkReachesNoClient({"HTTP/1.1 000 \r\n" + NamedFields + OddBody,
                          "HTTP/1.1 000 \r\n" + NamedFields + "Content-Length: 0\r\n\r\n" + SignedHead + OddBody,
                          "HTTP/1.1 101 Switching Protocols\r\n" + NamedFields + "\r\n" + SignedHead + OddBody,
                          "HTTP/1.1 700 Odd\r\n" + NamedFields + OddBody,
                          "HTTP/1.1 999 Odd\r\n" + NamedFields + OddBody,
                          "HTTP/1.1 0200 OK\r\n" + NamedFields + OddBody,
                          "HTTP/9.9 200 OK\r\n" + NamedFields + OddBody});
}

// Guards against a client that gets a response whose head holds a line that is no field, without that line or with another body (MIXED).
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_field_reaches_no_client)
{
    checkReachesNoClient({SignedHead + "X Odd: 1\r\n" + OddBody,
                          SignedHead + "X-Odd : 1\r\n" + OddBody,
                          "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n" + NamedFields + OddBody,
                          SignedHead + "X\tOdd: 1\r\n" + OddBody,
                          SignedHead + "X\x01Odd: 1\r\n" + OddBody,
                          SignedHead + ": 1\r\n" + OddBody,
                          SignedHead + "X-Odd\r\n" + OddBody,
                          SignedHead + "Content-Length : 3\r\n\r\nodd",
                          SignedHead + "Content Length: 3\r\n\r\nodd and more",
                          SignedHead + "Transfer-Encoding : chunked\r\n\r\n" + OddChunks});
}

// Guards against a client that gets a body that is not the endpoint's, since its length or its coding was taken for another one (MIXED).
BOOST_AUTO_TEST_CASE(a_response_whose_length_or_coding_cannot_be_followed_reaches_no_client)
{
    checkReachesNoClient({SignedHead + "Content-Length:\r\n\r\nodd",
                          SignedHead + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nodd",
                          SignedHead + "Transfer-Encoding: gzip\r\n\r\nodd",
                          SignedHead + "Transfer-Encoding: gzip, chunked\r\n\r\n" + OddChunks,
                          SignedHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + OddChunks});
}

// Guards against a client that gets a body without a part of the endpoint's, since a chunk is longer than its size says (MIXED).
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_line_end_reaches_no_client)
{
    checkReachesNoClient({SignedHead + "Content-Length: 3\r\n\rXodd"});
    checkReachesNoClient(
        {SignedHead + "Transfer-Encoding: chunked\r\n\r\n3\r\noddly0\r\n\r\n", SignedHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\rX"}, true);
}

BOOST_AUTO_TEST_SUITE_END()
