#include "scheduling/runmoves.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

constexpr double MedianIntervalMs = 50;

PlacementEndpoint engine(const std::string &id, double relativeEventTime, int running, std::uint64_t version = 5)
{
    PlacementEndpoint result;
    result.id = id;
    result.slots = 8;
    result.running = running;
    result.version = version;
    result.relativeEventTime = relativeEventTime;
    return result;
}

MovableRun run(std::size_t item, const std::string &endpoint, double relativeEventTime, double remainingEvents)
{
    return {item, endpoint, relativeEventTime, remainingEvents, {1000, 1000}, false};
}

/// Items that are moved, in order.
std::vector<std::size_t> movedItems(const std::vector<MovableRun> &runs, std::vector<PlacementEndpoint> endpoints, std::size_t maxMoves = 100)
{
    std::vector<std::size_t> items;
    for (const auto &move : planMoves(runs, endpoints, MedianIntervalMs, 5, maxMoves)) {
        items.push_back(move.itemIndex);
    }
    return items;
}

}

BOOST_AUTO_TEST_SUITE(scheduling, *boost::unit_test::label("scheduling"))

// At the end of a step the short samples are done, and one of the long ones runs at an engine that needs 65 ms per event
// instead of 50. Guards against a step that waits two seconds for that one.
BOOST_AUTO_TEST_CASE(a_long_sample_moves_to_a_faster_engine_that_has_become_free)
{
    const auto moves = movedItems({run(1, "slow", 1.3, 100), run(2, "a", 1.0, 100)}, {engine("slow", 1.3, 1), engine("a", 1.0, 1), engine("b", 1.0, 0)});
    BOOST_TEST((moves == std::vector<std::size_t>{1}));
}

// A move processes the prompt again, so its gain must outweigh that, and measurements of the same engine vary.
BOOST_AUTO_TEST_CASE(no_sample_moves_for_a_small_gain)
{
    BOOST_TEST(movedItems({run(1, "slow", 1.3, 10)}, {engine("b", 1.0, 0)}).empty());
    BOOST_TEST(movedItems({run(1, "a", 1.08, 145)}, {engine("b", 1.0, 0)}).empty());
}

BOOST_AUTO_TEST_CASE(short_samples_also_move_from_a_very_slow_engine)
{
    BOOST_TEST(movedItems({run(1, "slow", 4.0, 3)}, {engine("b", 1.0, 0)}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(samples_move_only_to_engines_with_free_capacity)
{
    const std::vector<MovableRun> runs = {run(1, "slow", 1.5, 50), run(2, "slow", 1.5, 100), run(3, "slow", 1.5, 80)};
    // One slot: the longest run gains most.
    BOOST_TEST((movedItems(runs, {engine("b", 1.0, 7)}) == std::vector<std::size_t>{2}));
    BOOST_TEST(movedItems(runs, {engine("b", 1.0, 0, 4)}).empty());
    auto small = engine("b", 1.0, 1);
    small.tokenCapacity = 1500;
    BOOST_TEST(movedItems(runs, {small}).empty());
}

// With 115 engines whose speed depends on the number of their runs, an engine that has lost a run looks faster than the one
// that received it. Guards against runs that are moved in circles, each time with a new connection and a prompt processed
// again.
BOOST_AUTO_TEST_CASE(a_sample_that_has_moved_stays_unless_its_engine_becomes_slow)
{
    std::vector<PlacementEndpoint> engines;
    std::vector<MovableRun> runs;
    for (std::size_t i = 0; i < 115; ++i) {
        engines.push_back(engine("e" + std::to_string(i), i % 3 == 0 ? 1.3 : 1.0, 3));
        runs.push_back(run(i, "e" + std::to_string(i), i % 3 == 0 ? 1.3 : 1.0, 100));
    }
    const auto first = movedItems(runs, engines);
    BOOST_TEST(first.size() == 39U);
    for (const auto item : first) {
        runs[item].hasMoved = true;
    }
    BOOST_TEST(movedItems(runs, engines).empty());
    runs[0].relativeEventTime = 2.5;
    BOOST_TEST((movedItems(runs, engines) == std::vector<std::size_t>{0}));
}

// Guards against a move whose target slot is taken by another item, so that the moved one has to wait.
BOOST_AUTO_TEST_CASE(each_move_occupies_a_slot_of_its_target)
{
    std::vector<PlacementEndpoint> engines = {engine("b", 1.0, 7), engine("c", 1.0, 7)};
    const auto moves = planMoves({run(1, "slow", 1.5, 100), run(2, "slow", 1.5, 90), run(3, "slow", 1.5, 80)}, engines, MedianIntervalMs, 5, 100);
    BOOST_REQUIRE(moves.size() == 2U);
    BOOST_TEST(moves[0].endpoint != moves[1].endpoint);
    BOOST_TEST(engines[0].running == 8);
    BOOST_TEST(engines[1].running == 8);
    BOOST_TEST(movedItems({run(1, "slow", 1.5, 100), run(2, "slow", 1.5, 90)}, {engine("b", 1.0, 0)}, 1).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
