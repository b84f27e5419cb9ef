#include "net/attemptline.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(net, *boost::unit_test::label("net"))

// Guards against differences between the compact serialization of deltas and the general JSON serialization.
BOOST_AUTO_TEST_CASE(deltas_with_special_characters_are_parsed_back_unchanged)
{
    for (const auto *text : {"plain ", "", "a \"quote\"", "back\\slash", "line\nbreak", "\xc3\xa4", "\"}", "\x7f", ",\"version\":9"}) {
        for (const auto *attempt : {"entry/1/2", "odd\"entry/1/2"}) {
            AttemptLine line;
            line.kind = AttemptLine::Kind::Delta;
            line.attempt = attempt;
            line.number = 12;
            line.tokens = 3;
            line.text = text;
            const auto check = [&line] {
                const auto read = AttemptLine::fromText(line.toText());
                BOOST_TEST_REQUIRE(read.has_value(), line.toText());
                BOOST_TEST(read->text == line.text);
                BOOST_TEST(read->attempt == line.attempt);
                BOOST_TEST((read->version == line.version));
                BOOST_TEST(read->number == 12U);
                BOOST_TEST(read->tokens == 3U);
            };
            check();
            line.version = 7;
            check();
        }
    }
}

BOOST_AUTO_TEST_CASE(malformed_lines_are_rejected)
{
    for (const auto *text : {"",
                             "{}",
                             "{\"type\":\"delta\",\"attempt\":\"a\",\"number\":,\"tokens\":1,\"text\":\"x\"}",
                             "{\"type\":\"delta\",\"attempt\":\"a\",\"number\":1,\"tokens\":1,\"text\":\"x",
                             "{\"type\":\"delta\",\"attempt\":\"a\",\"number\":1,\"tokens\":1,\"text\":\"x\"y\"}",
                             "{\"type\":\"delta\",\"attempt\":\"a\",\"number\":-1,\"tokens\":1,\"text\":\"x\"}",
                             "{\"type\":\"answer\",\"attempt\":\"a\",\"number\":1,\"status\":200,\"headers\":{},\"body\":\"?\"}",
                             "{\"type\":\"refused\",\"attempt\":\"a\",\"number\":1}",
                             "{\"type\":\"other\",\"attempt\":\"a\",\"number\":1}"}) {
        BOOST_TEST(!AttemptLine::fromText(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
