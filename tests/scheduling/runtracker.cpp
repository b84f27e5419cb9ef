#include "scheduling/runtracker.h"

#include "scheduling/placement.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

/// An engine with memory for 30,000 tokens and 8 slots.
PlacementEndpoint engine(const std::string &id)
{
    PlacementEndpoint result;
    result.id = id;
    result.slots = 8;
    result.tokenCapacity = 30'000;
    return result;
}

}

BOOST_AUTO_TEST_SUITE(scheduling, *boost::unit_test::label("scheduling"))

BOOST_AUTO_TEST_CASE(the_peak_is_before_the_end_of_a_run_and_not_the_sum_of_all_sizes)
{
    TokenForecast forecast;
    BOOST_TEST(forecast.peakWith({100, 50}) == 150U);
    forecast.add({100, 1000});
    // The short run ends when both have grown by 10 tokens; the long one then continues alone.
    BOOST_TEST(forecast.peakWith({100, 10}) == 1100U);
    // Both end at the same time.
    BOOST_TEST(forecast.peakWith({100, 1000}) == 2200U);
    // Most memory is released early, so the peak is right before that.
    BOOST_TEST(forecast.peakWith({5000, 10}) == 5000U + 100U + 2 * 10U);
}

// Starts a step of 128 samples, most of them short and each limited to 12,000 tokens, on engines with 8 slots. Guards
// against runs that are counted at their limit: most slots of the engines then stay free while samples wait for seconds.
BOOST_AUTO_TEST_CASE(samples_far_shorter_than_their_limit_fill_all_slots)
{
    RunTracker tracker;
    std::vector<PlacementItem> waiting;
    waiting.reserve(128);
    for (std::size_t i = 0; i < 128; ++i) {
        PlacementItem item;
        item.index = i;
        const std::uint64_t expected = i < 10 ? 8000 : 1100;
        item.tokens = tracker.tokenUse({276, expected, 12'000, 0});
        waiting.push_back(item);
    }
    std::vector<PlacementEndpoint> endpoints;
    endpoints.reserve(10);
    for (int i = 0; i < 10; ++i) {
        endpoints.push_back(engine(std::to_string(i)));
    }
    BOOST_TEST(assignItems(waiting, endpoints).size() == 80U);
}

// Guards against an engine that runs out of memory because several of the longest samples run there together.
BOOST_AUTO_TEST_CASE(the_longest_samples_do_not_exhaust_the_memory_of_one_engine)
{
    RunTracker tracker;
    std::vector<PlacementItem> waiting(8);
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        waiting[i].index = i;
        waiting[i].tokens = tracker.tokenUse({276, 11'000, 12'000, 0});
    }
    std::vector<PlacementEndpoint> endpoints = {engine("a")};
    BOOST_TEST(assignItems(waiting, endpoints).size() == 2U);
}

BOOST_AUTO_TEST_CASE(tokens_per_event_are_estimated_from_completed_samples)
{
    RunTracker tracker;
    tracker.addRun("a", 1, {200, 1000, 4000, 0});
    tracker.recordEvent("a", 1);
    BOOST_TEST(tracker.forecast("a").peakWith({}) == 1200U);
    tracker.recordCompletion({200, 800, 4000, 10});
    tracker.recordCompletion({200, 800, 4000, 10});
    // One event of 80 tokens is held; the expected total is unchanged.
    const auto now = tracker.tokenUse({200, 1000, 4000, 1});
    BOOST_TEST(now.held == 280U);
    BOOST_TEST(now.remaining == 920U);
    // Beyond its estimate a sample is expected to generate a further quarter, but not beyond its limit.
    const auto longer = tracker.tokenUse({200, 1000, 4000, 20});
    BOOST_TEST(longer.held == 1800U);
    BOOST_TEST(longer.remaining == 400U);
    BOOST_TEST(tracker.tokenUse({200, 1000, 4000, 60}).remaining == 0U);
}

// Guards against an overestimate of the tokens per event, because some clients estimate five times their limit: long
// samples then count as finished before their end and stay on slow engines.
BOOST_AUTO_TEST_CASE(an_estimate_above_the_limit_is_capped_at_it)
{
    BatchItem item;
    item.tokens = 12'200;
    item.promptTokens = 200;
    item.lengthHint = 60'900;
    BOOST_TEST(runTokens(item, 0).expectedOutput == 12'000U);
    RunTracker tracker;
    tracker.recordCompletion(runTokens(item, 150));
    BOOST_TEST(tracker.remainingEvents(runTokens(item, 100)) == 50.0);
}

// Guards against a run without a known limit that is counted as needing no memory and as nearly finished.
BOOST_AUTO_TEST_CASE(a_run_without_a_known_limit_is_still_expected_to_generate)
{
    RunTracker tracker;
    tracker.recordCompletion({200, 800, 4000, 10});
    BOOST_TEST(tracker.tokenUse({200, 1000, 0, 0}).remaining == 1000U);
    BOOST_TEST(tracker.tokenUse({200, 1000, 0, 20}).remaining == 400U);
    BOOST_TEST(tracker.remainingEvents({200, 1000, 0, 20}) == 5.0);
}

BOOST_AUTO_TEST_CASE(an_ended_run_releases_its_memory)
{
    RunTracker tracker;
    tracker.addRun("a", 1, {200, 1000, 4000, 0});
    tracker.addRun("a", 2, {200, 1000, 4000, 0});
    BOOST_TEST(tracker.runCount("a") == 2);
    tracker.removeRun("a", 1);
    tracker.removeRun("a", 1);
    BOOST_TEST(tracker.runCount("a") == 1);
    BOOST_TEST(tracker.forecast("a").peakWith({}) == 1200U);
    tracker.clear();
    BOOST_TEST(tracker.runCount("a") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
