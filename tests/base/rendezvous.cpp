#include "base/rendezvous.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(base, *boost::unit_test::label("base"))

// Guards against a selection that moves unrelated keys when a host leaves.
BOOST_AUTO_TEST_CASE(removing_a_candidate_moves_only_the_keys_assigned_to_it)
{
    std::vector<std::string> candidates;
    candidates.reserve(20);
    for (int i = 0; i < 20; ++i) {
        candidates.push_back("entry-" + std::to_string(i));
    }
    auto fewer = candidates;
    fewer.erase(fewer.begin() + 7);
    for (int i = 0; i < 200; ++i) {
        const auto key = "sidecar-" + std::to_string(i);
        const auto before = rendezvousOrder(key, candidates, 1);
        if (before.front() != "entry-7") {
            BOOST_TEST(rendezvousOrder(key, fewer, 1) == before);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
