#include "scheduling/runmoves.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

constexpr double UsualGapMs = 50;

PlacementEndpoint engine(const std::string &id, double pace, int running, std::uint64_t version = 5)
{
    PlacementEndpoint result;
    result.id = id;
    result.slots = 8;
    result.running = running;
    result.version = version;
    result.pace = pace;
    return result;
}

MovableRun run(std::size_t item, const std::string &endpoint, double pace, double remainingEvents)
{
    return {item, endpoint, pace, remainingEvents, {1000, 1000}};
}

}

BOOST_AUTO_TEST_SUITE(scheduling, *boost::unit_test::label("scheduling"))

// Replays the end of a step: the short samples are done, and of the long ones one runs at an engine that needs 65 ms an event
// instead of 50. Guards against a step that waits two seconds for that one.
BOOST_AUTO_TEST_CASE(a_long_sample_moves_to_a_faster_engine_that_has_become_free)
{
    const auto moves =
        planMoves({run(1, "slow", 1.3, 100), run(2, "a", 1.0, 100)}, {engine("slow", 1.3, 1), engine("a", 1.0, 1), engine("b", 1.0, 0)}, UsualGapMs, 5);
    BOOST_TEST((moves == std::vector<std::size_t>{1}));
}

// A move reads the prompt again, so it must be worth it, and measurements of the same engine vary.
BOOST_AUTO_TEST_CASE(no_sample_moves_for_a_small_gain)
{
    BOOST_TEST(planMoves({run(1, "slow", 1.3, 10)}, {engine("b", 1.0, 0)}, UsualGapMs, 5).empty());
    BOOST_TEST(planMoves({run(1, "a", 1.08, 145)}, {engine("b", 1.0, 0)}, UsualGapMs, 5).empty());
}

BOOST_AUTO_TEST_CASE(a_very_slow_engine_loses_also_short_samples)
{
    BOOST_TEST(planMoves({run(1, "slow", 4.0, 3)}, {engine("b", 1.0, 0)}, UsualGapMs, 5).size() == 1U);
}

BOOST_AUTO_TEST_CASE(samples_move_only_where_there_is_room_for_them)
{
    const std::vector<MovableRun> runs = {run(1, "slow", 1.5, 50), run(2, "slow", 1.5, 100), run(3, "slow", 1.5, 80)};
    // One slot: the longest gains most.
    BOOST_TEST((planMoves(runs, {engine("b", 1.0, 7)}, UsualGapMs, 5) == std::vector<std::size_t>{2}));
    BOOST_TEST(planMoves(runs, {engine("b", 1.0, 0, 4)}, UsualGapMs, 5).empty());
    auto small = engine("b", 1.0, 1);
    small.tokenCapacity = 1500;
    BOOST_TEST(planMoves(runs, {small}, UsualGapMs, 5).empty());
}

BOOST_AUTO_TEST_SUITE_END()
