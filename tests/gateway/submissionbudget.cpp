#include "gateway/submissionbudget.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(gateway, *boost::unit_test::label("gateway"))

// Guards against a gateway that outgrows its memory under batches that are written at the same time.
BOOST_AUTO_TEST_CASE(batches_that_are_written_together_stay_within_the_limit)
{
    SubmissionBudget budget(1000);
    auto first = budget.reserve(600);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(!budget.reserve(500).has_value());
    {
        const auto second = budget.reserve(400);
        BOOST_TEST(second.has_value());
        BOOST_TEST(!budget.reserve(1).has_value());
    }
    BOOST_TEST(budget.reserve(400).has_value());
    const auto moved = std::move(*first);
    first.reset();
    BOOST_TEST(!budget.reserve(500).has_value());
}

// Guards against a batch within the limit that never fits, and against a limit above what the store can take.
BOOST_AUTO_TEST_CASE(the_limit_follows_from_the_memory_and_from_the_store)
{
    constexpr std::size_t Mebibyte = 1024 * 1024;
    BOOST_TEST(SubmissionBudget::limitFor(64 * 1024 * Mebibyte) == BatchRecords::MaxSubmissionBytes);
    const auto limit = SubmissionBudget::limitFor(110 * Mebibyte);
    BOOST_TEST(limit < BatchRecords::MaxSubmissionBytes);
    BOOST_TEST(limit > 10 * Mebibyte);
    SubmissionBudget budget(limit);
    BOOST_TEST(budget.reserve(limit).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
