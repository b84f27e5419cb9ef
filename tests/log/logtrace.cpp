#include "log/logtrace.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(logging, *boost::unit_test::label("log"))

BOOST_AUTO_TEST_CASE(a_trace_lists_the_lines_of_an_id_in_order_of_time_and_finds_the_first_failure)
{
    LogTrace trace("b1");
    std::istringstream first(R"(12.5 node {"time_ms":30,"level":"warning","node":"n1","incarnation":"i","event":"late","batch":"b1","after_ms":9}
not json
{"time_ms":10,"level":"info","node":"n1","incarnation":"i","event":"accepted","batch":"b1"}
{"time_ms":11,"level":"info","node":"n1","incarnation":"i","event":"accepted","batch":"b2"}
)");
    std::istringstream second(R"({"time_ms":20,"level":"warning","node":"n2","incarnation":"j","event":"failed","item":"x","batch":"b1"})");
    trace.read(first);
    trace.read(second);
    const auto lines = trace.lines();
    BOOST_REQUIRE(lines.size() == 3U);
    BOOST_TEST(lines.at(0).event == "accepted");
    BOOST_TEST(lines.at(1).node == "n2");
    BOOST_TEST(lines.at(2).fields.find("after_ms") != std::string::npos);
    BOOST_TEST(trace.firstFailure()->event == "failed");
    BOOST_TEST(trace.unreadableLines() == 1U);
    BOOST_TEST(!LogTrace("b1").firstFailure().has_value());
}

BOOST_AUTO_TEST_CASE(a_trace_matches_numeric_ids)
{
    LogTrace trace("357");
    std::istringstream input(R"({"time_ms":1,"level":"info","event":"usage_reported","window":357})");
    trace.read(input);
    BOOST_TEST(trace.lines().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
