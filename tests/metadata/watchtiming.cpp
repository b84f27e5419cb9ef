#include "metadata/watchtiming.h"

#include "metadata/fakemetadatastore.h"
#include "metadata/prefixfeed.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

using namespace Basilbend;

namespace
{

constexpr Milliseconds Bound{2000};

/// A feed whose watches follow from the bound, and the time at which it reported its last change.
struct BoundedFeedFixture {
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    std::string value;
    std::map<std::string, std::string> copy;
    int changes = 0;
    Timestamp reportedAt;
    PrefixFeed feed{store,
                    virtualLoop(time),
                    "op/",
                    WatchTiming::spanFor(Bound),
                    {[](const auto &) {},
                     [this](const MetadataItem &item) {
                         value = item.value;
                         copy[item.key] = item.value;
                         ++changes;
                         reportedAt = time.now();
                     },
                     [](bool) {}}};

    BoundedFeedFixture()
    {
        feed.start();
        time.advance(Milliseconds(100));
    }

    /// Returns the time from a change to its report.
    Milliseconds delayOfChange(const std::string &text)
    {
        const auto changedAt = time.now();
        store.put("op/config", text);
        time.advance(Milliseconds(8000));
        BOOST_REQUIRE(value == text);
        return reportedAt - changedAt;
    }
};

}

BOOST_AUTO_TEST_SUITE(metadata, *boost::unit_test::label("metadata"))

// Guards against a change that is known too late because the answer to one watch was lost in silence: the lost watch was noticed
// only after 3.4 s.
BOOST_FIXTURE_TEST_CASE(a_change_is_known_within_the_bound_although_a_watch_is_lost_in_silence, BoundedFeedFixture)
{
    Milliseconds longest{0};
    for (int phase = 0; phase < 60; ++phase) {
        // The watch that begins next is lost; the change comes at various times of its wait.
        store.faults.lostWaitingWatches = 1;
        while (store.faults.lostWaitingWatches > 0) {
            time.advance(Milliseconds(1));
        }
        time.advance(Milliseconds(25 * phase));
        longest = std::max(longest, delayOfChange(std::to_string(phase)));
    }
    BOOST_TEST(longest.count() <= Bound.count());
}

// Guards against a process that stays behind while something on the way drops watches that wait, though each other call is answered.
BOOST_FIXTURE_TEST_CASE(changes_are_known_within_the_bound_while_all_waiting_watches_are_lost, BoundedFeedFixture)
{
    store.faults.waitingWatchesAreLost = true;
    Milliseconds longest{0};
    for (int phase = 0; phase < 60; ++phase) {
        time.advance(Milliseconds(37 * phase));
        longest = std::max(longest, delayOfChange(std::to_string(phase)));
    }
    BOOST_TEST(longest.count() <= Bound.count());
}

// Guards against a change that stays unknown until its key changes again: a watch misses it, hears a later one of another key, and the
// feed goes on behind both.
BOOST_FIXTURE_TEST_CASE(a_change_that_a_watch_missed_before_it_heard_another_one_is_reported, BoundedFeedFixture)
{
    store.faults.watchesMissChanges = true;
    store.put("op/config", "new");
    time.advance(Milliseconds(300));
    store.faults.watchesMissChanges = false;
    store.put("op/version/m", "2");
    time.advance(Milliseconds(100));
    BOOST_TEST(copy.count("op/version/m") == 1U);
    time.advance(Milliseconds(1800));
    BOOST_REQUIRE(copy.count("op/config") == 1U);
    BOOST_TEST(copy.at("op/config") == "new");
    BOOST_TEST(changes == 2);
    BOOST_TEST(feed.confirmedRevision() == feed.revision());
}

// Guards against a check for missed changes that gives up because the store misses changes again, or does not answer.
BOOST_FIXTURE_TEST_CASE(missed_changes_are_looked_for_until_the_store_reports_them, BoundedFeedFixture)
{
    store.faults.watchesMissChanges = true;
    store.put("op/config", "new");
    store.faults.watchesMissChanges = false;
    store.put("op/version/m", "2");
    time.advance(Milliseconds(1400));
    store.faults.watchesMissChanges = true;
    time.advance(Milliseconds(400));
    store.faults.watchesMissChanges = false;
    store.faults.doesNotAnswer = true;
    time.advance(Milliseconds(4000));
    BOOST_TEST(copy.count("op/config") == 0U);
    store.faults.doesNotAnswer = false;
    time.advance(Milliseconds(4000));
    BOOST_TEST(copy.count("op/config") == 1U);
}

BOOST_AUTO_TEST_CASE(the_wait_of_a_watch_follows_from_the_bound)
{
    BOOST_TEST(WatchTiming::spanFor(Milliseconds(2000)).count() == 1000);
    BOOST_TEST(WatchTiming::spanFor(Milliseconds(600)).count() == 300);
    BOOST_TEST(WatchTiming::timeoutFor(Milliseconds(1000)).count() == 1500);
    BOOST_TEST(WatchTiming::timeoutFor(Milliseconds(1)).count() == 1200);
    BOOST_TEST(WatchTiming::gapCheckDelayFor(Milliseconds(1000)).count() == 1500);
    BOOST_TEST(WatchTiming::gapCheckDelayFor(Milliseconds(2000)).count() == 3000);
}

BOOST_AUTO_TEST_SUITE_END()
