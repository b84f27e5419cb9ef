#include "http/messageparser.h"

#include "http/httpmessage.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

struct ParserFixture {
    std::vector<MessageHead> heads;
    std::string body;
    int completed = 0;

    MessageHooks hooks()
    {
        return {
            [this](MessageHead &&head) { heads.push_back(std::move(head)); }, [this](std::string_view data) { body.append(data); }, [this] { ++completed; }};
    }
};

/// Feeds each response in pieces of several sizes, and checks that none of them is completed, also at the end of the connection.
void checkRejected(const std::vector<std::string> &responses)
{
    for (const auto &bytes : responses) {
        for (const std::size_t pieceBytes : {bytes.size(), std::size_t(1), std::size_t(7)}) {
            ParserFixture fixture;
            MessageParser parser(MessageParser::Kind::Response, fixture.hooks());
            for (std::size_t at = 0; at < bytes.size() && !parser.hasFailed() && fixture.completed == 0; at += pieceBytes) {
                parser.feed(std::string_view(bytes).substr(at, pieceBytes));
            }
            parser.finish();
            BOOST_TEST(fixture.completed == 0, bytes << " in pieces of " << pieceBytes);
        }
    }
}

}

BOOST_AUTO_TEST_SUITE(http, *boost::unit_test::label("http"))

BOOST_FIXTURE_TEST_CASE(a_message_ends_at_its_content_length_and_the_rest_is_not_consumed, ParserFixture)
{
    MessageParser parser(MessageParser::Kind::Response, hooks());
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 ";
    BOOST_TEST(parser.feed(bytes) == bytes.size() - 9);
    BOOST_TEST(completed == 1);
    BOOST_TEST(body == "abc");
    BOOST_TEST(heads.at(0).status == 200);
}

BOOST_FIXTURE_TEST_CASE(a_message_can_be_parsed_byte_by_byte, ParserFixture)
{
    MessageParser parser(MessageParser::Kind::Request, hooks());
    const std::string bytes = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (const char c : bytes) {
        BOOST_TEST(parser.feed({&c, 1}) == 1U);
    }
    BOOST_TEST(completed == 1);
    BOOST_TEST(body == "abcde");
    BOOST_TEST(heads.at(0).target == "/a?b=c");
    BOOST_TEST(heads.at(0).fields.value("host") == "h");
}

// Guards against a client whose id differs from the one that it sent, or is rejected, because of space that HTTP does not count.
BOOST_FIXTURE_TEST_CASE(space_around_a_field_value_does_not_belong_to_it, ParserFixture)
{
    MessageParser parser(MessageParser::Kind::Request, hooks());
    parser.feed("GET / HTTP/1.1\r\nHost: \t h.example \t\r\nX-Empty:  \r\nX-Inner: a  b \r\n\r\n");
    BOOST_REQUIRE(heads.size() == 1U);
    BOOST_TEST(heads[0].fields.value("Host") == "h.example");
    BOOST_TEST(heads[0].fields.value("X-Empty").empty());
    BOOST_TEST(heads[0].fields.value("X-Inner") == "a  b");
}

// Guards against request smuggling: two servers could interpret conflicting lengths differently.
BOOST_AUTO_TEST_CASE(messages_with_conflicting_lengths_are_rejected)
{
    for (const auto *head : {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "Content-Length: 3\r\nContent-Length: 4\r\n\r\n"}) {
        ParserFixture fixture;
        MessageParser parser(MessageParser::Kind::Request, fixture.hooks());
        parser.feed(std::string("POST / HTTP/1.1\r\nHost: h\r\n") + head + "abc");
        BOOST_TEST(parser.hasFailed());
    }
}

// Guards against a truncated response that is taken for a complete one.
BOOST_FIXTURE_TEST_CASE(a_truncated_response_is_not_complete_and_one_without_length_ends_with_the_stream, ParserFixture)
{
    MessageParser cut(MessageParser::Kind::Response, hooks());
    cut.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    BOOST_TEST(!cut.finish());
    MessageParser chunked(MessageParser::Kind::Response, hooks());
    chunked.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    BOOST_TEST(!chunked.finish());
    completed = 0;
    MessageParser open(MessageParser::Kind::Response, hooks());
    open.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    BOOST_TEST(completed == 0);
    BOOST_TEST(open.finish());
    BOOST_TEST(completed == 1);
}

// Guards against a response without a status that is taken for an interim one, so that what follows is taken for the answer, and against one
// that is passed on with a status that there is not.
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_status_line_is_rejected)
{
    const std::string rest = "Content-Length: 2\r\n\r\nab";
    checkRejected({"HTTP/1.1 000 \r\n" + rest,
                   "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
                   "HTTP/1.1 99 Odd\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
                   "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
                   "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: odd\r\n\r\nab",
                   "HTTP/1.1 600 Odd\r\n" + rest,
                   "HTTP/1.1 700 Odd\r\n" + rest,
                   "HTTP/1.1 999 Odd\r\n" + rest,
                   "HTTP/1.1 0200 OK\r\n" + rest,
                   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 0200 OK\r\n" + rest,
                   "HTTP/1.1 20 OK\r\n" + rest,
                   "HTTP/1.1 +200 OK\r\n" + rest,
                   "HTTP/9.9 200 OK\r\n" + rest,
                   "HTTP/0.9 200 OK\r\n" + rest,
                   "HTTP/2.0 200 OK\r\n" + rest});
}

// Guards against a response that is passed on without the lines of its head that are no fields, or with a body that such a line leaves open.
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_field_is_rejected)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string rest = "Content-Length: 2\r\n\r\nab";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n";
    checkRejected({ok + "X Odd: 1\r\n" + rest,
                   ok + "X-Odd : 1\r\n" + rest,
                   ok + " X-Odd: 1\r\n" + rest,
                   ok + "X\tOdd: 1\r\n" + rest,
                   ok + "X-Odd\t: 1\r\n" + rest,
                   ok + "X\x01Odd: 1\r\n" + rest,
                   ok + "X\x7fOdd: 1\r\n" + rest,
                   ok + "X\xe4Odd: 1\r\n" + rest,
                   ok + "X(Odd): 1\r\n" + rest,
                   ok + "X-Odd: 1\x01\r\n" + rest,
                   ok + "X-Odd: 1\rX-Two: 2\r\n" + rest,
                   ok + ": 1\r\n" + rest,
                   ok + "X-Odd\r\n" + rest,
                   ok + "Content-Length : 2\r\n\r\nabc",
                   ok + "Content Length: 2\r\n\r\nabc",
                   ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                   ok + chunked + "X Odd: 1\r\n\r\n",
                   ok + chunked + "X-Odd : 1\r\n\r\n"});
}

// Guards against a body that is not the server's: its length or its coding is taken for another one.
BOOST_AUTO_TEST_CASE(a_response_whose_length_or_coding_cannot_be_followed_is_rejected)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunks = "2\r\nab\r\n0\r\n\r\n";
    checkRejected({ok + "Content-Length:\r\n\r\nabc",
                   ok + "Content-Length: 2, 2\r\n\r\nabc",
                   ok + "Content-Length: 2\r\n 3\r\n\r\nabc",
                   ok + "Content-Length: +2\r\n\r\nabc",
                   ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                   ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
                   ok + "Transfer-Encoding:\r\n\r\nab",
                   ok + "Transfer-Encoding: gzip\r\n\r\nab",
                   ok + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
                   ok + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
                   ok + "Transfer-Encoding: chunked, chunked\r\n\r\n" + chunks,
                   "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nab" + ok + "Content-Length: 2\r\n\r\nab"});
}

// Guards against a body that lacks a part of the server's, or a head that lacks a byte: something else stands where a line or a chunk ends.
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_line_end_is_rejected)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    checkRejected({chunked + "2\r\nabcd0\r\n\r\n",
                   chunked + "2\r\nab0\r\n\r\n\r\n",
                   chunked + "2\r\nab\rc0\r\n\r\n",
                   chunked + "2\r\nabc\n0\r\n\r\n",
                   chunked + "2\r\nab\n0\r\n\r\n",
                   chunked + "2\rcab\r\n0\r\n\r\n",
                   chunked + "2\r\nab\r\n0\rc\r\n",
                   chunked + "2\r\nab\r\n0\r\n\rc",
                   chunked + "2\r\nab\r\n0\r\nX-Sum: 1\r\n\rc",
                   "HTTP/1.1 200 OK\rcContent-Length: 2\r\n\r\nab",
                   ok + "Content-Length: 2\rc\r\nab",
                   ok + "Content-Length: 2\r\n\rcab"});
}

// Guards against data of a chunk that is taken for a line.
BOOST_AUTO_TEST_CASE(chunks_may_hold_line_ends_however_they_are_divided)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\rb\r\n4;x=1\r\n\n\r\r\n\r\n1\r\n\n\r\n0\r\nX-Sum: 1\r\n\r\n";
    for (std::size_t pieceBytes = 1; pieceBytes <= bytes.size(); ++pieceBytes) {
        ParserFixture fixture;
        MessageParser parser(MessageParser::Kind::Response, fixture.hooks());
        for (std::size_t at = 0; at < bytes.size(); at += pieceBytes) {
            parser.feed(std::string_view(bytes).substr(at, pieceBytes));
        }
        BOOST_TEST(!parser.hasFailed());
        BOOST_TEST(fixture.completed == 1);
        BOOST_TEST(fixture.body == "a\rb\n\r\r\n\n");
    }
}

// Guards against a valid response that is rejected together with invalid ones.
BOOST_AUTO_TEST_CASE(a_valid_response_is_accepted_however_it_is_divided)
{
    const std::string rest = "Content-Length: 2\r\n\r\nab";
    for (const auto &bytes : std::vector<std::string>{"HTTP/1.1 200 OK\r\n" + rest,
                                                      "HTTP/1.0 200 OK\r\n" + rest,
                                                      "HTTP/1.1 200\r\n" + rest,
                                                      "HTTP/1.1 200 \r\n" + rest,
                                                      "HTTP/1.1 200 OK\n" + rest,
                                                      "HTTP/1.1 599 Odd\r\n" + rest,
                                                      "HTTP/1.1 102 Processing\r\nX-Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
                                                      "HTTP/1.1 200 OK\r\nX-Text: \xc3\xa4\t1\r\n" + rest,
                                                      "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: 1\r\n" + rest,
                                                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\nX-Sum: 1\r\n\r\n"}) {
        for (const std::size_t pieceBytes : {bytes.size(), std::size_t(1), std::size_t(7)}) {
            ParserFixture fixture;
            MessageParser parser(MessageParser::Kind::Response, fixture.hooks());
            for (std::size_t at = 0; at < bytes.size(); at += pieceBytes) {
                parser.feed(std::string_view(bytes).substr(at, pieceBytes));
            }
            BOOST_TEST(!parser.hasFailed(), bytes);
            BOOST_TEST(fixture.completed == 1, bytes << " in pieces of " << pieceBytes);
            BOOST_TEST(fixture.body == "ab", bytes);
        }
    }
}

// Guards against a folded line that is taken for a field of its own, or is joined to its value without the space before it (RFC 9112, 5.2).
BOOST_AUTO_TEST_CASE(the_lines_of_a_folded_value_are_one_value_however_they_are_divided)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nX-Versions: 1\r\n 2\r\nX-Long: one\r\n Content-Length: 9\r\nX-Late:\r\n late\r\n"
                              "Content-Length: 2\r\n\r\n b";
    for (std::size_t pieceBytes = 1; pieceBytes <= bytes.size(); ++pieceBytes) {
        ParserFixture fixture;
        MessageParser parser(MessageParser::Kind::Response, fixture.hooks());
        for (std::size_t at = 0; at < bytes.size(); at += pieceBytes) {
            parser.feed(std::string_view(bytes).substr(at, pieceBytes));
        }
        BOOST_REQUIRE(fixture.heads.size() == 1U);
        const auto &fields = fixture.heads[0].fields;
        BOOST_TEST(fields.value("X-Versions") == "1 2");
        BOOST_TEST(fields.value("X-Long") == "one Content-Length: 9");
        BOOST_TEST(fields.value("X-Late") == "late");
        BOOST_TEST(fixture.body == " b");
    }
}

// Guards against a client that takes the body of a response that must not have one for its next response.
BOOST_AUTO_TEST_CASE(a_response_whose_status_allows_no_body_ends_with_its_head)
{
    for (const std::string head : {"HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n",
                                   "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
                                   "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n"}) {
        ParserFixture fixture;
        MessageParser parser(MessageParser::Kind::Response, fixture.hooks());
        BOOST_TEST(parser.feed(head + "ab") == head.size());
        BOOST_TEST(fixture.completed == 1);
        BOOST_TEST(fixture.body.empty());
        BOOST_REQUIRE(fixture.heads.size() == 1U);
        BOOST_TEST(fixture.heads[0].keepAlive == (fixture.heads[0].status == 304), head);
    }
}

BOOST_FIXTURE_TEST_CASE(interim_responses_are_skipped, ParserFixture)
{
    MessageParser parser(MessageParser::Kind::Response, hooks());
    parser.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
    BOOST_TEST(heads.size() == 1U);
    BOOST_TEST(heads.at(0).status == 204);
    BOOST_TEST(completed == 1);
}

BOOST_FIXTURE_TEST_CASE(the_size_of_an_incomplete_head_is_counted, ParserFixture)
{
    MessageParser parser(MessageParser::Kind::Request, hooks());
    parser.feed("GET / HTTP/1.1\r\nX: " + std::string(100, 'x'));
    BOOST_TEST(parser.incompleteHeadBytes() == 119U);
    parser.feed("\r\n\r\n");
    BOOST_TEST(parser.incompleteHeadBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(hop_by_hop_fields_are_removed_with_those_that_connection_lists)
{
    HttpFields fields{{"Connection", "close, X-Mine"}, {"x-mine", "1"}, {"Keep-Alive", "timeout=4"}, {"Content-Length", "3"}, {"Other", "stays"}};
    fields.removeHopByHop();
    BOOST_TEST((fields == HttpFields{{"Other", "stays"}}));
}

BOOST_AUTO_TEST_CASE(query_values_are_decoded)
{
    BOOST_TEST(queryValue("/a?id=e5%2Fb&after=12", "id") == "e5/b");
    BOOST_TEST(queryValue("/a?id=e5&after=12", "after") == "12");
    BOOST_TEST(queryValue("/a", "id").empty());
    BOOST_TEST(percentEncoded("op/a b") == "op/a%20b");
}

BOOST_AUTO_TEST_SUITE_END()
