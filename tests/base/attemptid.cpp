#include "base/attemptid.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(base, *boost::unit_test::label("base"))

BOOST_AUTO_TEST_CASE(an_attempt_id_round_trips_through_its_text_form)
{
    const AttemptId id{"entry-1", 77, 5};
    BOOST_TEST((AttemptId::fromString(id.toString()) == id));
    for (const auto *text : {"", "/", "a/b", "a/1/", "a//1", "/1/1", "a/1/x"}) {
        BOOST_TEST(!AttemptId::fromString(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
