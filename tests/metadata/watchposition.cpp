#include "metadata/watchposition.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(metadata, *boost::unit_test::label("metadata"))

// Guards against a gap that counts as closed although a change was heard after the check had been answered.
BOOST_AUTO_TEST_CASE(a_check_confirms_only_what_it_has_read)
{
    WatchPosition position;
    position.reset(10);
    position.acceptChanges(12, true);
    position.acceptChanges(15, true);
    BOOST_TEST(position.confirmed() == 10U);
    position.acceptCheck(13);
    BOOST_TEST(position.confirmed() == 13U);
    BOOST_TEST(position.mayHaveGap());
    position.acceptCheck(15);
    BOOST_TEST(!position.mayHaveGap());
    BOOST_TEST(position.heard() == 15U);
}

BOOST_AUTO_TEST_CASE(a_watch_that_did_not_wait_leaves_no_gap)
{
    WatchPosition position;
    position.reset(10);
    position.acceptChanges(12, false);
    BOOST_TEST(position.confirmed() == 12U);
    position.acceptChanges(14, true);
    position.acceptChanges(16, false);
    BOOST_TEST(position.confirmed() == 12U);
}

// Guards against a follower that takes a revision for complete that its peer has not confirmed, or that it has not checked itself.
BOOST_AUTO_TEST_CASE(a_follower_confirms_no_more_than_its_peer_and_no_gap_of_its_own)
{
    WatchPosition position;
    position.reset(10);
    position.acceptPeer(14, 12);
    BOOST_TEST(position.heard() == 14U);
    BOOST_TEST(position.confirmed() == 12U);
    position.returnToConfirmed();
    BOOST_TEST(position.heard() == 12U);
    position.acceptChanges(16, true);
    position.acceptPeer(20, 20);
    BOOST_TEST(position.confirmed() == 12U);
    position.acceptCheck(20);
    BOOST_TEST(position.confirmed() == 20U);
}

BOOST_AUTO_TEST_SUITE_END()
