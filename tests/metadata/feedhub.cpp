#include "metadata/feedhub.h"

#include "metadata/feedprocess.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(metadata, *boost::unit_test::label("metadata"))

// Simulates a fleet of 40 processes. Guards against store calls that grow with the fleet: the store counts each open watch.
BOOST_FIXTURE_TEST_CASE(store_calls_do_not_grow_with_the_number_of_followers, FleetFixture)
{
    addFollowers(40);
    run(15000);
    BOOST_TEST(followingCount() == 40U);
    const auto before = store.calls;
    store.put("op/a", "1");
    run(10000);
    for (const auto &process : followers) {
        BOOST_TEST(process->copy.at("op/a") == "1");
    }
    // 40 processes with one watch every 2.5 s each would make 160 calls.
    BOOST_TEST(store.calls - before < 40);
    BOOST_TEST((oldestAge() <= PrefixFeed::MaxFollowedAge));
}

BOOST_FIXTURE_TEST_CASE(changes_and_removals_reach_followers_at_once, FleetFixture)
{
    store.put("op/b", "1");
    addFollowers(5);
    run(15000);
    BOOST_REQUIRE(followingCount() == 5U);
    store.put("op/a", "1");
    store.erase("op/b");
    run(500);
    for (const auto &process : followers) {
        BOOST_TEST(process->copy.count("op/a") == 1U);
        BOOST_TEST(process->copy.count("op/b") == 0U);
    }
}

// A process with followers watches the store in shorter spans than one without. With few followers, its additional calls to
// the store exceed those that the followers save.
BOOST_FIXTURE_TEST_CASE(a_hub_with_too_few_followers_refuses_them, FleetFixture)
{
    addFollowers(FeedHub::MinFollowers - 1);
    run(20000);
    BOOST_TEST(followingCount() == 0U);
}

// Guards against a withdrawn key or a leaving endpoint that stays in use in followers of a process that hangs.
BOOST_FIXTURE_TEST_CASE(followers_of_a_paused_process_fall_back_to_the_store_in_time, FleetFixture)
{
    addFollowers(6);
    run(15000);
    BOOST_REQUIRE(followingCount() == 6U);
    hub->isPaused = true;
    store.put("op/config", "new");
    run(1500);
    for (const auto &process : followers) {
        BOOST_TEST(process->copy.count("op/config") == 1U);
    }
    BOOST_TEST(followingCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(followers_of_a_killed_process_fall_back_to_the_store_at_once, FleetFixture)
{
    addFollowers(6);
    run(15000);
    BOOST_REQUIRE(followingCount() == 6U);
    hub->feed.stop();
    hub->server.stopAccepting();
    hub->hub.recordSnapshot(FollowedPrefix);
    store.put("op/config", "new");
    run(200);
    for (const auto &process : followers) {
        BOOST_TEST(process->copy.count("op/config") == 1U);
    }
}

// Guards against a copy that is trusted although the process that serves it no longer reaches the store.
BOOST_FIXTURE_TEST_CASE(a_followed_copy_is_never_verified_later_than_its_source, FleetFixture)
{
    addFollowers(6);
    run(15000);
    BOOST_REQUIRE(followingCount() == 6U);
    store.faults.doesNotAnswer = true;
    const auto lost = time.now();
    for (int i = 0; i < 40; ++i) {
        run(100);
        for (const auto &process : followers) {
            BOOST_TEST((*process->feed.verifiedAt() <= std::max(lost, *hub->feed.verifiedAt())));
        }
    }
}

// The hub's waiting watch has missed a change and heard the next one, which the followers know, too.
struct MissedChangeFixture : FleetFixture {
    MissedChangeFixture()
    {
        addFollowers(6);
        run(15000);
        BOOST_REQUIRE(followingCount() == 6U);
        // The hub's watch must be waiting when the change is made.
        const auto calls = store.calls;
        while (store.calls == calls) {
            run(10);
        }
        run(100);
        store.faults.watchesMissChanges = true;
        store.put("op/config", "new");
        store.faults.watchesMissChanges = false;
        store.put("op/version/m", "2");
        run(100);
        for (const auto &process : followers) {
            BOOST_REQUIRE(process->copy.count("op/version/m") == 1U);
            BOOST_REQUIRE(process->copy.count("op/config") == 0U);
        }
    }
    bool doAllKnowTheConfiguration() const
    {
        return std::all_of(followers.begin(), followers.end(), [](const auto &process) { return process->copy.count("op/config") == 1U; });
    }
};

// Guards against a fleet that stays behind because the one process that it follows has missed a change.
BOOST_FIXTURE_TEST_CASE(followers_learn_what_the_process_that_they_follow_had_missed, MissedChangeFixture)
{
    run(1900);
    BOOST_TEST(hub->copy.count("op/config") == 1U);
    BOOST_TEST(doAllKnowTheConfiguration());
    run(15000);
    BOOST_TEST(followingCount() == 6U);
}

// Guards against a change that is lost with the process that had missed it: nobody else would look for it.
BOOST_FIXTURE_TEST_CASE(followers_of_a_killed_process_read_again_what_it_had_not_confirmed, MissedChangeFixture)
{
    hub->feed.stop();
    hub->server.stopAccepting();
    hub->hub.recordSnapshot(FollowedPrefix);
    run(300);
    BOOST_TEST(doAllKnowTheConfiguration());
}

// Guards against one process with limited bandwidth that has to send a large configuration to the whole fleet.
BOOST_FIXTURE_TEST_CASE(a_large_value_is_read_from_the_store, FleetFixture)
{
    addFollowers(6);
    run(15000);
    BOOST_REQUIRE(followingCount() == 6U);
    const std::string large(FeedHub::MaxValueBytes + 1, 'x');
    store.put("op/config", large);
    run(300);
    for (const auto &process : followers) {
        BOOST_TEST((process->copy["op/config"] == large));
    }
    run(2000);
    BOOST_TEST(followingCount() == 6U);
}

// Guards against changes that a follower misses because the process that it follows has missed them.
BOOST_FIXTURE_TEST_CASE(followers_disconnect_from_a_process_that_lists_again, FleetFixture)
{
    addFollowers(6);
    run(15000);
    BOOST_REQUIRE(followingCount() == 6U);
    hub->feed.start();
    run(30);
    BOOST_TEST(followingCount() == 0U);
    store.put("op/config", "new");
    run(300);
    for (const auto &process : followers) {
        BOOST_TEST(process->copy.count("op/config") == 1U);
    }
}

// Guards against an update that is delivered late and makes the copy seem newer than it is.
BOOST_FIXTURE_TEST_CASE(a_late_delivery_does_not_make_a_followed_copy_seem_newer, FleetFixture)
{
    EventLog log{EventLogSettings(), [this] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); }};
    std::shared_ptr<ServerExchange> exchange;
    WebServer server(io, "127.0.0.1:0", defaultServerHooks([&exchange](const std::shared_ptr<ServerExchange> &asked) {
                         exchange = asked;
                         asked->beginStream({200, {}});
                     }));
    WebClient client(io, [this] { return time.now(); });
    FeedFollower follower(client, virtualLoop(time), log, {"127.0.0.1:" + std::to_string(server.port())}, "n");
    std::optional<Timestamp> stateVerifiedAt;
    const auto sentAt = time.now();
    follower.start(FollowedPrefix, 0, {[&stateVerifiedAt](const FeedUpdate &, Timestamp at) { stateVerifiedAt = at; }, [] {}});
    run(50);
    FeedUpdate update;
    update.verifiedOffset = Milliseconds(40);
    const auto line = encodeFeedUpdate(update) + "\n";
    exchange->sendChunk(line.substr(0, 10));
    run(3000);
    BOOST_TEST(!stateVerifiedAt.has_value());
    exchange->sendChunk(line.substr(10));
    run(50);
    BOOST_REQUIRE(stateVerifiedAt.has_value());
    BOOST_TEST((*stateVerifiedAt == sentAt + Milliseconds(40)));
    follower.stop(false);
}

BOOST_AUTO_TEST_CASE(an_update_is_unchanged_by_encoding_and_decoding)
{
    FeedUpdate update;
    update.revision = 9;
    update.verifiedOffset = Milliseconds(-30);
    update.items.push_back({"op/a", std::string("\x00\xff", 2), 8, 0, 0, false});
    update.items.push_back({"op/b", {}, 9, 0, 0, true});
    const auto decoded = decodeFeedUpdate(encodeFeedUpdate(update));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().revision == 9U);
    BOOST_TEST(decoded.value().verifiedOffset.count() == -30);
    BOOST_TEST((decoded.value().items.at(0).value == update.items[0].value));
    BOOST_TEST(decoded.value().items.at(1).isRemoval);
    BOOST_TEST(decodeFeedUpdate("{}").has_error());
    BOOST_TEST(decodeFeedUpdate("no json").has_error());
    // A corrupted value must not be decoded as an empty one: the receiver would drop an endpoint or a configuration.
    auto corrupted = encodeFeedUpdate(update);
    corrupted.replace(corrupted.find("\"value\":\"") + 9, 2, "??");
    BOOST_TEST(decodeFeedUpdate(corrupted).has_error());
}

BOOST_AUTO_TEST_SUITE_END()
