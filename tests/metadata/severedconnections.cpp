#include "metadata/feedprocess.h"
#include "soak/faultproxy.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

/// Bound within which a configuration must be in force.
constexpr int BoundMs = 2000;
constexpr std::size_t Followers = 6;

/// Processes that follow another one over connections that can go silent.
struct SeveredFixture : FleetFixture {
    FaultProxy link{io, virtualLoop(time)};

    SeveredFixture()
    {
        link.setTarget(hub->server.port());
        for (std::size_t i = 0; i < Followers; ++i) {
            followers.push_back(std::make_unique<FeedProcess>(io, time, store, "follower-" + std::to_string(i), std::vector<std::string>{link.address()}));
        }
    }

    /// Number of followers whose configuration has this text.
    std::size_t countWith(const std::string &text) const
    {
        return static_cast<std::size_t>(std::count_if(followers.begin(), followers.end(), [&text](const auto &process) {
            const auto it = process->copy.find("op/config");
            return it != process->copy.end() && it->second == text;
        }));
    }
};

}

BOOST_AUTO_TEST_SUITE(metadata, *boost::unit_test::label("metadata"))

// Guards against a configuration that is not in force in time (CONFIG): the open connections between the processes pass nothing any more, not
// even their end, while the processes at both ends run.
BOOST_FIXTURE_TEST_CASE(a_change_is_known_within_the_bound_after_open_connections_have_gone_silent_for_good, SeveredFixture)
{
    run(15000);
    BOOST_REQUIRE(followingCount() == Followers);
    for (int round = 1; round <= 3; ++round) {
        const auto text = std::to_string(round);
        link.silenceOpenConnections();
        store.put("op/config", text);
        run(BoundMs);
        BOOST_TEST(countWith(text) == Followers, "round " << round);
        run(15000);
        // The process that was followed is followed again, over new connections.
        BOOST_TEST(followingCount() == Followers, "round " << round);
    }
}

// Guards against a change that is missed because it came some time after the connections had gone silent.
BOOST_FIXTURE_TEST_CASE(a_change_long_after_open_connections_have_gone_silent_is_known_within_the_bound, SeveredFixture)
{
    run(15000);
    for (int pauseMs = 0; pauseMs <= 5000; pauseMs += 500) {
        const auto text = "after " + std::to_string(pauseMs);
        link.silenceOpenConnections();
        run(pauseMs);
        store.put("op/config", text);
        run(BoundMs);
        BOOST_TEST(countWith(text) == Followers, text);
        run(15000);
    }
}

BOOST_AUTO_TEST_SUITE_END()
