#include "billing/usagecounter.h"
#include "billing/usagepublisher.h"
#include "billing/usagerecords.h"

#include "metadata/fakemetadatastore.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

struct UsageFixture {
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    EventLog log{EventLogSettings(), [this] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); }};
    UsagePublisher publisher{store, virtualLoop(time), log, "gateway-1"};

    std::uint64_t stored(std::int64_t window, const std::string &workspace) const
    {
        std::uint64_t sum = 0;
        for (const auto &key : store.keysBelow(UsageRecords::countPrefix(window))) {
            const auto counts = UsageRecords::decodeCounts(store.peek(key)->value);
            sum += counts->count(workspace) > 0 ? counts->at(workspace) : 0;
        }
        return sum;
    }
};

}

BOOST_AUTO_TEST_SUITE(billing, *boost::unit_test::label("billing"))

BOOST_AUTO_TEST_CASE(requests_count_in_the_window_in_which_they_began)
{
    UsageCounter counter(Milliseconds(5000));
    counter.countRequest("w", Timestamp(9999));
    counter.countRequest("w", Timestamp(10000));
    counter.countRequest("v", Timestamp(14999));
    counter.countRequest("", Timestamp(14999));
    BOOST_TEST(counter.takeClosedWindows(Timestamp(10000)).empty());
    const auto first = counter.takeClosedWindows(Timestamp(10000) + UsageCounter::SettleDelay);
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(first.at(0).window == 1);
    BOOST_TEST(first.at(0).counts.at("w") == 1U);
    const auto rest = counter.closeAllWindows();
    BOOST_REQUIRE(rest.size() == 1U);
    BOOST_TEST(rest.at(0).counts.size() == 2U);
    BOOST_TEST(counter.closeAllWindows().empty());
}

// Guards against usage that is counted twice when the answer to its write was lost, and against usage that is lost in an
// outage.
BOOST_FIXTURE_TEST_CASE(a_window_is_written_once_through_lost_answers_and_an_outage, UsageFixture)
{
    store.faults.lostCommits = 1;
    publisher.publish({7, {{"w", 3}}});
    time.advance(Milliseconds(2000));
    BOOST_TEST(stored(7, "w") == 3U);
    store.faults.refuses = true;
    publisher.publish({8, {{"w", 2}}});
    time.advance(Milliseconds(5000));
    BOOST_TEST(!publisher.isIdle());
    store.faults.refuses = false;
    time.advance(Milliseconds(1000));
    BOOST_TEST(stored(8, "w") == 2U);
    BOOST_TEST(publisher.isIdle());
}

BOOST_FIXTURE_TEST_CASE(two_parts_of_a_window_are_added_up, UsageFixture)
{
    publisher.publish({7, {{"w", 3}}});
    time.advance(Milliseconds(100));
    publisher.publish({7, {{"w", 1}}});
    time.advance(Milliseconds(100));
    BOOST_TEST(stored(7, "w") == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
