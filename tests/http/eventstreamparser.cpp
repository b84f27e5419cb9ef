#include "http/eventstreamparser.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(http, *boost::unit_test::label("http"))

BOOST_AUTO_TEST_CASE(events_are_parsed_wherever_the_bytes_are_split)
{
    const std::string bytes = "version: 3\nid: 7\ndata: a\ndata: b\n\nid:8\ndata:c\r\n\r\n";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        std::vector<StreamEvent> events;
        EventStreamParser stream([&events](const StreamEvent &event) { events.push_back(event); });
        stream.feed(std::string_view(bytes).substr(0, cut));
        stream.feed(std::string_view(bytes).substr(cut));
        BOOST_REQUIRE(events.size() == 2U);
        BOOST_TEST(events[0].id == 7U);
        BOOST_TEST(events[0].data == "a\nb");
        BOOST_TEST(events[0].otherLines.at(0) == "version: 3");
        BOOST_TEST(events[1].data == "c");
        BOOST_TEST(events[0].raw + events[1].raw == bytes);
    }
}

// Guards against a partial event in a result: an endpoint may stop in the middle of one.
BOOST_AUTO_TEST_CASE(an_event_without_its_empty_line_is_not_reported)
{
    int events = 0;
    EventStreamParser stream([&events](const StreamEvent &) { ++events; });
    stream.feed("id: 1\ndata: whole\n\nid: 2\ndata: ha");
    BOOST_TEST(events == 1);
}

BOOST_AUTO_TEST_SUITE_END()
