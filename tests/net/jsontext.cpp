#include "net/jsontext.h"

#include "base/random.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(net, *boost::unit_test::label("net"))

// Guards against a record that exceeds its limit, because its texts grow when they are encoded.
BOOST_AUTO_TEST_CASE(the_bound_of_an_encoded_text_is_never_too_small)
{
    Random random(56);
    for (int i = 0; i < 5000; ++i) {
        std::string text;
        for (std::size_t n = random.below(8); n > 0; --n) {
            text.push_back(static_cast<char>(random.below(256)));
        }
        std::string encoded;
        appendJsonString(encoded, text);
        BOOST_REQUIRE(encoded.size() <= maxJsonStringBytes(text));
    }
    BOOST_TEST(maxJsonStringBytes("plain") == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
