#include "http/connectionbudget.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace Basilbend;

namespace
{

constexpr Timestamp Now(100000);
constexpr std::size_t SmallRequest = 16;

/// Connections with names instead of sockets; those that are evicted are removed at once.
struct BudgetFixture {
    ConnectionBudget budget{{1000, 2000, 4}};
    std::map<std::string, int> keys;
    std::vector<std::string> closed;

    void add(const std::string &name, const ConnectionUse &use)
    {
        const auto *key = &keys[name];
        budget.add(key, use.lastProgressAt, [this, name, key](ConnectionEviction) {
            closed.push_back(name);
            budget.remove(key);
        });
        budget.update(key, use);
    }
};

ConnectionUse idle(std::size_t bytes, Milliseconds since)
{
    return {bytes, false, false, Now - since, Now - since};
}

ConnectionUse running(std::size_t bytes)
{
    return {bytes, true, false, Now, Now};
}

ConnectionUse reading(std::size_t bytes, Milliseconds lastTaken)
{
    return {bytes, false, true, Now - lastTaken, Now};
}

}

BOOST_AUTO_TEST_SUITE(http)

// Guards against a crowd that holds the memory that ordinary clients need: what holds most is evicted first.
BOOST_FIXTURE_TEST_CASE(the_connections_that_hold_most_are_evicted_first, BudgetFixture)
{
    add("small", idle(100, Milliseconds(0)));
    add("large", idle(600, Milliseconds(0)));
    add("middle", idle(400, Milliseconds(0)));
    BOOST_TEST(budget.relieve(SmallRequest, Now));
    BOOST_TEST((closed == std::vector<std::string>{"large"}));
    BOOST_TEST(budget.heldBytes() == 500U);
}

// Guards against cutting requests that run and responses on their way to clients that read.
BOOST_FIXTURE_TEST_CASE(connections_that_are_served_are_never_evicted, BudgetFixture)
{
    add("running", running(900));
    add("reading", reading(600, Milliseconds(200)));
    add("unread", reading(300, ConnectionUse::ReadingPause));
    BOOST_TEST(!budget.relieve(SmallRequest, Now));
    BOOST_TEST((closed == std::vector<std::string>{"unread"}));
    BOOST_TEST(budget.heldBytes() == 1500U);
}

// Guards against refusing the largest request that clients may send while nothing else is held.
BOOST_FIXTURE_TEST_CASE(a_single_request_of_the_largest_size_is_kept, BudgetFixture)
{
    add("body", idle(1500, Milliseconds(0)));
    BOOST_TEST(budget.relieve(1500, Now));
    BOOST_TEST(closed.empty());
    // The host can't hold more than the upper limit, whatever clients may send.
    add("second", idle(1400, Milliseconds(0)));
    BOOST_TEST(budget.relieve(100000, Now));
    BOOST_TEST((closed == std::vector<std::string>{"body"}));
}

// Guards against idle connections that take the descriptors that calls to endpoints and the store need.
BOOST_FIXTURE_TEST_CASE(the_connection_without_progress_for_longest_makes_room, BudgetFixture)
{
    add("a", idle(0, Milliseconds(10)));
    add("b", idle(0, Milliseconds(500)));
    add("c", running(0));
    BOOST_TEST(budget.makeRoom(Now));
    BOOST_TEST(closed.empty());
    add("d", idle(0, Milliseconds(20)));
    BOOST_TEST(budget.makeRoom(Now));
    BOOST_TEST((closed == std::vector<std::string>{"b"}));
}

BOOST_FIXTURE_TEST_CASE(there_is_no_room_while_all_connections_are_served, BudgetFixture)
{
    for (const auto *name : {"a", "b", "c", "d"}) {
        add(name, running(0));
    }
    BOOST_TEST(!budget.makeRoom(Now));
    BOOST_TEST(closed.empty());
}

// Guards against limits that take more than a part of the smallest host, or less than ordinary clients need.
BOOST_AUTO_TEST_CASE(connection_limits_follow_the_host)
{
    constexpr std::size_t Mb = 1024 * 1024;
    BOOST_TEST((connectionLimitsFor(120 * Mb, 3075) == ConnectionLimits{30 * Mb, 60 * Mb, 1537}));
    BOOST_TEST(connectionLimitsFor(120 * Mb, 1).connections == 1U);
    BOOST_TEST(availableMemoryBytes() > 0U);
    BOOST_TEST(availableDescriptors() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
