#include "metadata/prefixfeed.h"

#include "metadata/fakemetadatastore.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

struct FeedFixture {
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    std::map<std::string, std::string> copy;
    int snapshots = 0;
    int changes = 0;
    std::vector<bool> reachable;
    PrefixFeed feed{store,
                    virtualLoop(time),
                    "op/",
                    Milliseconds(2500),
                    {[this](const std::vector<MetadataItem> &items) {
                         ++snapshots;
                         copy.clear();
                         for (const auto &item : items) {
                             copy[item.key] = item.value;
                         }
                     },
                     [this](const MetadataItem &item) {
                         ++changes;
                         if (item.isRemoval) {
                             copy.erase(item.key);
                         } else {
                             copy[item.key] = item.value;
                         }
                     },
                     [this](bool value) { reachable.push_back(value); }}};

    Milliseconds age() const
    {
        return time.now() - *feed.verifiedAt();
    }
};

}

BOOST_AUTO_TEST_SUITE(metadata, *boost::unit_test::label("metadata"))

BOOST_FIXTURE_TEST_CASE(a_feed_lists_all_pages_and_then_reports_each_change_once, FeedFixture)
{
    store.pageItems = 2;
    for (const auto *key : {"op/a", "op/b", "op/c", "op/d", "op/e"}) {
        store.put(key, "1");
    }
    feed.start();
    time.advance(Milliseconds(100));
    BOOST_TEST(copy.size() == 5U);
    store.put("op/b", "2");
    store.put("other", "x");
    store.erase("op/c");
    time.advance(Milliseconds(6000));
    BOOST_TEST(copy.at("op/b") == "2");
    BOOST_TEST(copy.count("op/c") == 0U);
    BOOST_TEST(changes == 2);
    BOOST_TEST(snapshots == 1);
}

// Guards against a feed that loses a change made while the watches of the store briefly missed changes.
BOOST_FIXTURE_TEST_CASE(a_change_that_a_watch_missed_is_reported_by_the_next_one, FeedFixture)
{
    feed.start();
    time.advance(Milliseconds(2000));
    store.faults.watchesMissChanges = true;
    store.put("op/config", "new");
    time.advance(Milliseconds(800));
    store.faults.watchesMissChanges = false;
    time.advance(Milliseconds(3000));
    BOOST_TEST(copy.count("op/config") == 1U);
    BOOST_TEST(changes == 1);
}

// Guards against a feed revision that advances past a missed change. The store's watches miss changes for one second here,
// which spans several watches of 300 ms, so an empty answer to the next watch does not show that no change was missed.
BOOST_FIXTURE_TEST_CASE(a_change_missed_by_several_short_watches_is_reported, FeedFixture)
{
    PrefixFeed shortFeed(store, virtualLoop(time), "op/", Milliseconds(300), {[](const auto &) {}, [this](const auto &) { ++changes; }, [](bool) {}});
    shortFeed.start();
    time.advance(Milliseconds(650));
    store.faults.watchesMissChanges = true;
    store.put("op/config", "new");
    time.advance(Milliseconds(1000));
    store.faults.watchesMissChanges = false;
    time.advance(Milliseconds(400));
    BOOST_TEST(changes == 1);
}

BOOST_FIXTURE_TEST_CASE(a_lost_history_is_replaced_by_a_listing, FeedFixture)
{
    feed.start();
    time.advance(Milliseconds(100));
    store.faults.watchesMissChanges = true;
    store.put("op/config", "new");
    store.faults.watchesMissChanges = false;
    store.faults.compactedRevision = 100;
    time.advance(Milliseconds(3000));
    store.faults.compactedRevision = 0;
    BOOST_TEST(copy.at("op/config") == "new");
    BOOST_TEST(snapshots >= 2);
}

// Guards against a verification time that grows older than the limit for withdrawn keys although the store is healthy. A
// change that arrives late in a watch verifies the state only for the time at which that watch was sent.
BOOST_FIXTURE_TEST_CASE(the_verification_time_stays_recent_when_changes_come_late_in_a_watch, FeedFixture)
{
    feed.start();
    time.advance(Milliseconds(100));
    Milliseconds oldest{0};
    for (int round = 0; round < 8; ++round) {
        for (int step = 0; step < 245; ++step) {
            time.advance(Milliseconds(10));
            oldest = std::max(oldest, age());
        }
        store.put("op/config", std::to_string(round));
    }
    BOOST_TEST(oldest.count() < 4000);
}

BOOST_FIXTURE_TEST_CASE(the_verification_time_does_not_advance_while_the_store_does_not_answer, FeedFixture)
{
    feed.start();
    time.advance(Milliseconds(1000));
    const auto before = *feed.verifiedAt();
    store.faults.doesNotAnswer = true;
    time.advance(Milliseconds(20000));
    BOOST_TEST((*feed.verifiedAt() <= before + Milliseconds(2600)));
    BOOST_TEST((reachable == std::vector<bool>{false}));
    store.faults.doesNotAnswer = false;
    time.advance(Milliseconds(6000));
    BOOST_TEST((reachable == std::vector<bool>{false, true}));
    BOOST_TEST(age().count() < 3000);
}

BOOST_FIXTURE_TEST_CASE(changes_that_come_together_are_fetched_by_one_call, FeedFixture)
{
    feed.setCoalescingDelay(Milliseconds(700));
    feed.start();
    time.advance(Milliseconds(100));
    const int callsBefore = store.calls;
    for (int i = 0; i < 10; ++i) {
        store.put("op/" + std::to_string(i), "x");
        time.advance(Milliseconds(60));
    }
    time.advance(Milliseconds(800));
    BOOST_TEST(copy.size() == 10U);
    BOOST_TEST(store.calls - callsBefore <= 3);
}

BOOST_AUTO_TEST_SUITE_END()
