#include "http/socketoptions.h"

#include <asio/system_error.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(http, *boost::unit_test::label("http"))

BOOST_AUTO_TEST_CASE(an_address_with_a_port_is_parsed)
{
    const auto endpoint = parseSocketEndpoint("10.0.0.9:8080");
    BOOST_TEST(endpoint.address().to_string() == "10.0.0.9");
    BOOST_TEST(endpoint.port() == 8080);
}

// Guards against a registry entry with a damaged port that is used with the part of it that can be read.
BOOST_AUTO_TEST_CASE(an_address_whose_port_is_no_number_up_to_65535_is_rejected)
{
    for (const auto *text : {"10.0.0.9", "10.0.0.9:", "10.0.0.9:80abc", "10.0.0.9:-1", "10.0.0.9: 80", "10.0.0.9:65536", "10.0.0.9:99999999999999999999"}) {
        BOOST_CHECK_THROW(parseSocketEndpoint(text), std::invalid_argument);
    }
    BOOST_CHECK_THROW(parseSocketEndpoint("here:80"), asio::system_error);
}

BOOST_AUTO_TEST_SUITE_END()
