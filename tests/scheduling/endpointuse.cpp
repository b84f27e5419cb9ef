#include "scheduling/endpointuse.h"

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

BOOST_AUTO_TEST_CASE(the_peak_lies_before_the_end_of_a_run_and_not_at_the_sum_of_all_sizes)
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
BOOST_AUTO_TEST_CASE(samples_far_shorter_than_their_limit_fill_all_places)
{
    EndpointUse use;
    std::vector<PlacementItem> waiting;
    waiting.reserve(128);
    for (std::size_t i = 0; i < 128; ++i) {
        PlacementItem item;
        item.index = i;
        const std::uint64_t expected = i < 10 ? 8000 : 1100;
        item.tokens = use.tokenUse({276, expected, 12'000, 0});
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
BOOST_AUTO_TEST_CASE(the_longest_samples_are_not_put_together_on_one_engine)
{
    EndpointUse use;
    std::vector<PlacementItem> waiting(8);
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        waiting[i].index = i;
        waiting[i].tokens = use.tokenUse({276, 11'000, 12'000, 0});
    }
    std::vector<PlacementEndpoint> endpoints = {engine("a")};
    BOOST_TEST(assignItems(waiting, endpoints).size() == 2U);
}

BOOST_AUTO_TEST_CASE(the_tokens_of_an_event_are_learned_from_complete_samples)
{
    EndpointUse use;
    use.noteStarted("a", 1, {200, 1000, 4000, 0});
    use.noteEvent("a", 1);
    BOOST_TEST(use.forecast("a").peakWith({}) == 1200U);
    use.noteCompleted({200, 800, 4000, 10});
    use.noteCompleted({200, 800, 4000, 10});
    // One event of 80 tokens is held; the expected total is unchanged.
    const auto now = use.tokenUse({200, 1000, 4000, 1});
    BOOST_TEST(now.held == 280U);
    BOOST_TEST(now.remaining == 920U);
    // Beyond its estimate a sample is expected to generate a further quarter, but not beyond its limit.
    const auto longer = use.tokenUse({200, 1000, 4000, 20});
    BOOST_TEST(longer.held == 1800U);
    BOOST_TEST(longer.remaining == 400U);
    BOOST_TEST(use.tokenUse({200, 1000, 4000, 60}).remaining == 0U);
}

// Guards against an overestimate of the tokens per event, because some clients estimate five times their limit: long
// samples then count as finished before their end and stay on slow engines.
BOOST_AUTO_TEST_CASE(an_estimate_above_the_limit_is_cut_to_it)
{
    BatchItem item;
    item.tokens = 12'200;
    item.promptTokens = 200;
    item.lengthHint = 60'900;
    BOOST_TEST(runTokens(item, 0).expectedOutput == 12'000U);
    EndpointUse use;
    use.noteCompleted(runTokens(item, 150));
    BOOST_TEST(use.remainingEvents(runTokens(item, 100)) == 50.0);
}

// Guards against a run without a known limit that is counted as needing no memory and as nearly finished.
BOOST_AUTO_TEST_CASE(a_run_without_a_known_limit_is_still_expected_to_generate)
{
    EndpointUse use;
    use.noteCompleted({200, 800, 4000, 10});
    BOOST_TEST(use.tokenUse({200, 1000, 0, 0}).remaining == 1000U);
    BOOST_TEST(use.tokenUse({200, 1000, 0, 20}).remaining == 400U);
    BOOST_TEST(use.remainingEvents({200, 1000, 0, 20}) == 5.0);
}

BOOST_AUTO_TEST_CASE(an_ended_run_gives_its_memory_back)
{
    EndpointUse use;
    use.noteStarted("a", 1, {200, 1000, 4000, 0});
    use.noteStarted("a", 2, {200, 1000, 4000, 0});
    BOOST_TEST(use.running("a") == 2);
    use.noteEnded("a", 1);
    use.noteEnded("a", 1);
    BOOST_TEST(use.running("a") == 1);
    BOOST_TEST(use.forecast("a").peakWith({}) == 1200U);
    use.clear();
    BOOST_TEST(use.running("a") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
