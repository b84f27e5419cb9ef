#include "weights/modelassignment.h"
#include "weights/orderplanner.h"

#include <boost/test/unit_test.hpp>
#include <ctime>

using namespace Basilbend;

namespace
{

/// A quarter of the time between two ticks of the leader.
constexpr double MaxDecisionMs = 25;

std::vector<WeightEndpoint> endpoints(std::initializer_list<std::uint64_t> versions)
{
    std::vector<WeightEndpoint> result;
    for (const auto version : versions) {
        WeightEndpoint endpoint;
        endpoint.id = "e" + std::to_string(result.size());
        endpoint.version = version;
        result.push_back(endpoint);
    }
    return result;
}

std::vector<std::string> fleet(std::size_t n)
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < n; ++i) {
        result.push_back("e" + std::to_string(100 + i));
    }
    return result;
}

}

BOOST_AUTO_TEST_SUITE(weights, *boost::unit_test::label("weights"))

BOOST_AUTO_TEST_CASE(half_of_the_endpoints_are_ordered_to_load_but_no_more_than_the_free_loads)
{
    auto fleet = endpoints({1, 1, 1, 1, 1, 1, 1, 1, 1});
    BOOST_TEST(planOrders(fleet, {2, 1}, 2).size() == 2U);
    BOOST_TEST(planOrders(fleet, {2, 1}, 0).empty());
    BOOST_TEST(planOrders(fleet, {2, 1}, 9).size() == 5U);
    fleet[0].isLoading = true;
    BOOST_TEST(planOrders(fleet, {2, 1}, 9).size() == 4U);
    BOOST_TEST(planOrders(endpoints({2, 2, 2, 2, 2, 1, 1, 1, 1}), {2, 1}, 9).empty());
}

// Guards against a step that opens with all endpoints due to load at once: those that are two versions behind are ordered first.
BOOST_AUTO_TEST_CASE(endpoints_two_versions_behind_are_ordered_first)
{
    BOOST_TEST((planOrders(endpoints({2, 1, 2, 1, 2}), {3, 2}, 2) == std::vector<std::string>{"e1", "e3"}));
    BOOST_TEST((planOrders(endpoints({5, 1, 4, 4, 4}), {5, 4}, 2).front() == "e1"));
    BOOST_TEST(planOrders(endpoints({3, 2, 2, 2, 2}), {3, 2}, 9, true).empty());
}

// Guards against a step that needs all slots of its model and finds half of the endpoints two versions behind, which leaves it
// half of the slots.
BOOST_AUTO_TEST_CASE(all_endpoints_are_ordered_when_slots_are_short_and_no_item_is_queued)
{
    ModelWeightState state{3, 2, true, true};
    BOOST_TEST(planOrders(endpoints({3, 3, 2, 2}), state, 9).empty());
    state.hasWaitingItems = false;
    BOOST_TEST(planOrders(endpoints({3, 3, 2, 2}), state, 9).size() == 2U);
    BOOST_TEST(planOrders(endpoints({3, 2, 2, 2}), state, 9).size() == 3U);
    state.hasWaitingItems = true;
    BOOST_TEST(planOrders(endpoints({3, 1, 2, 2}), state, 9).size() == 1U);
}

// Guards against endpoints that load no version while items are queued. With eight trainers whose items are always queued, all
// endpoints are then two versions behind when the next step opens, and nothing runs while a fifth of the fleet at a time loads.
BOOST_AUTO_TEST_CASE(half_of_the_endpoints_are_ordered_while_items_are_queued)
{
    const ModelWeightState state{3, 2, true, true};
    BOOST_TEST(planOrders(endpoints({2, 2, 2, 2}), state, 9).size() == 2U);
    BOOST_TEST(planOrders(endpoints({3, 2, 2, 2}), state, 9).size() == 1U);
    const ModelWeightState next{4, 3, true, true};
    BOOST_TEST(planOrders(endpoints({3, 3, 2, 2}), next, 9).size() == 2U);
}

BOOST_AUTO_TEST_CASE(the_least_loaded_endpoint_is_ordered_first_and_a_paused_one_is_skipped)
{
    auto fleet = endpoints({1, 1, 1});
    fleet[0].running = 5;
    fleet[1].running = 2;
    fleet[2].isPaused = true;
    BOOST_TEST((planOrders(fleet, {2, 1}, 2) == std::vector<std::string>{"e1", "e0"}));
    BOOST_TEST(planOrders(fleet, {1, 1}, 2).empty());
    BOOST_TEST(maxConcurrentLoads(9) == 2);
    BOOST_TEST(maxConcurrentLoads(48) == 9);
}

// Guards against loading every version on every endpoint. Four trainers each publish a version every 4 s to 48 endpoints, of
// which 10 can load at once in 0.9 s: 96 loads would be due in 4 s and 42 fit. With assigned endpoints each trainer needs about 6.
BOOST_AUTO_TEST_CASE(endpoints_are_assigned_by_demand_and_keep_their_model)
{
    ModelAssignment assignment;
    const ModelDemand demand{{"a", 100}, {"b", 300}, {"c", 300}, {"d", 200}};
    assignment.update(fleet(48), demand);
    BOOST_TEST(assignment.endpointCount("a") + assignment.endpointCount("b") + assignment.endpointCount("c") + assignment.endpointCount("d") == 48U);
    BOOST_TEST(assignment.endpointCount("b") >= 14U);
    BOOST_TEST(assignment.endpointCount("a") >= 5U);
    const auto currentModel = assignment.modelOf("e120");
    assignment.update(fleet(48), {{"a", 104}, {"b", 298}, {"c", 301}, {"d", 205}});
    BOOST_TEST(assignment.modelOf("e120") == currentModel);
}

BOOST_AUTO_TEST_CASE(a_model_without_demand_keeps_half_of_an_equal_share)
{
    ModelAssignment assignment;
    assignment.update(fleet(40), {{"a", 1000}, {"b", 0}});
    BOOST_TEST(assignment.endpointCount("b") >= 7U);
    BOOST_TEST(assignment.endpointCount("b") <= 14U);
}

// Guards against a model that is left without endpoints after some have been removed.
BOOST_AUTO_TEST_CASE(the_assignment_is_rebalanced_after_lost_endpoints_and_new_models)
{
    ModelAssignment assignment;
    assignment.update(fleet(12), {{"a", 1}});
    BOOST_TEST(assignment.endpointCount("a") == 12U);
    assignment.update(fleet(12), {{"a", 1}, {"b", 1}, {"c", 1}});
    BOOST_TEST(assignment.endpointCount("b") >= 3U);
    BOOST_TEST(assignment.endpointCount("c") >= 3U);
    std::vector<std::string> left;
    for (const auto &endpoint : fleet(12)) {
        if (assignment.modelOf(endpoint) != "b") {
            left.push_back(endpoint);
        }
    }
    assignment.update(left, {{"a", 1}, {"b", 1}, {"c", 1}});
    BOOST_TEST(assignment.endpointCount("b") >= 1U);
    assignment.update(left, {});
    BOOST_TEST(assignment.modelOf(left.front()).empty());
}

// Guards against a leader that spends its processor time on this decision: it is made after each change of an endpoint, on the
// thread that renews the lease. Its time grew with the square of the endpoints.
BOOST_AUTO_TEST_CASE(the_assignment_of_three_thousand_endpoints_does_not_hold_up_the_event_loop)
{
    const auto endpoints = fleet(3000);
    ModelDemand demand;
    for (int i = 0; i < 8; ++i) {
        demand["m" + std::to_string(i)] = 100 + i;
    }
    ModelAssignment assignment;
    assignment.update(endpoints, demand);
    constexpr int Updates = 5;
    const auto start = std::clock();
    for (int i = 0; i < Updates; ++i) {
        assignment.update(endpoints, demand);
    }
    const double msPerUpdate = 1000.0 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC / Updates;
    BOOST_TEST(msPerUpdate < MaxDecisionMs);
}

BOOST_AUTO_TEST_SUITE_END()
