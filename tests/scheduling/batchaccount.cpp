#include "scheduling/batchaccount.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

constexpr Timestamp Opened(1000);

Milliseconds timeOf(const BatchAccount &account, std::size_t item, ItemActivity activity)
{
    return account.timesOf(item)[static_cast<std::size_t>(activity)];
}

}

BOOST_AUTO_TEST_SUITE(scheduling)

// Guards against an account that names another cause than the one for which a step was late.
BOOST_AUTO_TEST_CASE(the_time_of_an_item_is_divided_by_activity)
{
    BatchAccount account(2, Opened);
    account.setWaitReason(ItemActivity::WaitingForWeights);
    account.beginWaiting(0, Opened + Milliseconds(10));
    account.enter(0, ItemActivity::Prompt, Opened + Milliseconds(910));
    account.enter(0, ItemActivity::Generating, Opened + Milliseconds(960));
    account.enter(0, ItemActivity::Listing, Opened + Milliseconds(1460));
    account.finish(0, Opened + Milliseconds(1660));
    account.enter(0, ItemActivity::Prompt, Opened + Milliseconds(9000));
    BOOST_TEST(timeOf(account, 0, ItemActivity::WaitingForSlot).count() == 10);
    BOOST_TEST(timeOf(account, 0, ItemActivity::WaitingForWeights).count() == 900);
    BOOST_TEST(timeOf(account, 0, ItemActivity::Prompt).count() == 50);
    BOOST_TEST(timeOf(account, 0, ItemActivity::Generating).count() == 500);
    BOOST_TEST(timeOf(account, 0, ItemActivity::Listing).count() == 200);
    BOOST_TEST((account.mainActivityOf(0) == ItemActivity::WaitingForWeights));
    BOOST_TEST(account.totals()[static_cast<std::size_t>(ItemActivity::Listing)].count() == 200);
}

// Guards against counting runs that were cut, and pauses of an endpoint, as generation.
BOOST_AUTO_TEST_CASE(restarts_and_stalls_are_told_from_generation)
{
    BatchAccount account(1, Opened);
    account.enter(0, ItemActivity::Generating, Opened);
    account.recordEvent(0, Milliseconds(60), 50);
    account.recordEvent(0, Milliseconds(900), 50);
    account.recordRestart(0, Opened + Milliseconds(1000));
    account.enter(0, ItemActivity::Prompt, Opened + Milliseconds(1300));
    BOOST_TEST(timeOf(account, 0, ItemActivity::Stalled).count() == 900);
    BOOST_TEST(timeOf(account, 0, ItemActivity::Generating).count() == 100);
    BOOST_TEST(timeOf(account, 0, ItemActivity::Restarting).count() == 300);
    BOOST_TEST(account.restartsOf(0) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
